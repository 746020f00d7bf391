package catalog

import (
	"testing"
	"time"
)

// Guards against a configuration of which an earlier build dropped a part staying in force:
// the complete configuration of the same version must replace it, and never the reverse.
func TestHigherSchemaReplacesSameVersion(t *testing.T) {
	config := func(version uint64, schema uint32) *Config {
		c := &Config{Version: version, Schema: schema}
		if schema > 0 {
			c.Organisations = []*Organisation{{Name: "alpha"}}
		}
		return c
	}
	s := NewState(StateOptions{})
	for i, step := range []struct {
		config      *Config
		wantVersion uint64
		wantLen     int
		wantOutcome string
	}{
		{config(5, 0), 5, 0, "applied"},
		{config(5, 1), 5, 1, "applied"},
		{config(5, 1), 5, 1, ""},
		{config(5, 0), 5, 1, ""},
		{config(4, 1), 5, 1, "ignored: older than the current version"},
		{config(6, 1), 6, 1, "applied"},
	} {
		changes := s.Apply(time.Unix(1, 0), []Item{{Kind: KindConfig, Revision: uint64(i + 1), Config: step.config}})
		outcome := ""
		if len(changes) > 0 {
			outcome = changes[0].Outcome
		}
		if v := s.View(); v.Version != step.wantVersion || v.Organisations().Len() != step.wantLen || outcome != step.wantOutcome {
			t.Errorf("step %d: version %d with %d organisations, %q; want %d with %d, %q", i, v.Version, v.Organisations().Len(), outcome, step.wantVersion, step.wantLen, step.wantOutcome)
		}
	}
}
