package catalog

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

func organisation(name string, keys ...string) *Organisation {
	o := &Organisation{Name: name}
	for _, k := range keys {
		o.Keys = append(o.Keys, HashKey(k))
	}
	return o
}

func applyOrganisations(s *State, version uint64, organisations ...*Organisation) []Change {
	return s.Apply(time.Unix(1_700_000_000, 0), []Item{{Kind: KindConfig, Revision: version, Config: &Config{Version: version, Organisations: organisations}}})
}

// A faulty version must not come into force, in whole or in part, and the log must name the
// organisation but no key.
func TestFaultyOrganisationsLeaveConfigurationInForce(t *testing.T) {
	limited := func(rate, burst float64) *Organisation {
		o := organisation("bad", "secret")
		o.Rate, o.Burst = rate, burst
		return o
	}
	for name, faulty := range map[string][]*Organisation{
		"key of two organisations": {organisation("other", "secret"), organisation("bad", "secret")},
		"negative rate":            {limited(-1, 0)},
		"negative burst":           {limited(1, -1)},
		"infinite rate":            {limited(math.Inf(1), 0)},
		"burst that is no number":  {limited(1, math.NaN())},
		"duplicate name":           {organisation("bad", "a"), organisation("bad", "b")},
		"empty key":                {organisation("bad", "")},
		"line break in the name":   {organisation("bad\r\nX: y", "secret")},
		"space around the name":    {organisation(" bad", "secret")},
		"no name":                  {organisation("", "secret")},
		"no organisation":          {nil},
	} {
		s := NewState(StateOptions{})
		applyOrganisations(s, 1, organisation("good", "secret"))
		changes := applyOrganisations(s, 2, faulty...)
		v := s.View()
		if v.Version != 1 || v.Organisations().Holder(HashKey("secret")).Name != "good" || v.Organisations().Len() != 1 {
			t.Errorf("%s: version %d in force", name, v.Version)
		}
		if len(changes) != 1 || changes[0].Err == nil || strings.Contains(changes[0].Err.Error(), "secret") {
			t.Errorf("%s: changes %+v, want one error without the key", name, changes)
			continue
		}
		if text := changes[0].Err.Error(); !strings.Contains(text, "bad") && !strings.Contains(text, "organisation 0") {
			t.Errorf("%s: error %q does not name the organisation", name, text)
		}
	}
}

// Guards against a key that is revoked, or moved to another organisation, and still counts.
func TestKeysFollowTheVersion(t *testing.T) {
	s := NewState(StateOptions{})
	if s.View().Organisations() != nil {
		t.Error("organisations without a configuration")
	}
	applyOrganisations(s, 1, organisation("a", "k1", "k2", "k3"), organisation("b", "k4"))
	first := s.View().Organisations()
	applyOrganisations(s, 2, organisation("a", "k2"), organisation("c", "k3", "k5"))
	second := s.View().Organisations()
	for key, want := range map[string]string{"k1": "", "k2": "a", "k3": "c", "k4": "", "k5": "c", "": ""} {
		got := ""
		if o := second.Holder(HashKey(key)); o != nil {
			got = o.Name
		}
		if got != want {
			t.Errorf("key %q is held by %q, want %q", key, got, want)
		}
	}
	revoked := first.Without(second)
	if len(revoked) != 2 || revoked[0] != (HeldKey{"a", HashKey("k1")}) || revoked[1] != (HeldKey{"b", HashKey("k4")}) {
		t.Errorf("revoked keys %v, want k1 of a and k4 of b", revoked)
	}
	if n := len(second.Without(nil)); n != 3 {
		t.Errorf("%d keys revoked with all organisations, want 3", n)
	}
	applyOrganisations(s, 1, organisation("a", "k1"))
	if s.View().Organisations().Holder(HashKey("k1")) != nil {
		t.Error("an older version brings a revoked key back")
	}
	applyOrganisations(s, 3)
	if s.View().Organisations() != nil {
		t.Error("organisations stay although the configuration has none")
	}
}

// A feed response, which lists all items, must fit into a frame of a link (4 MiB) with the
// 10,000 organisations that processes are designed for. It is decoded without loss.
func TestOrganisationsFitIntoFeed(t *testing.T) {
	c := &Config{Version: 1}
	for i := range 10_000 {
		o := organisation(fmt.Sprint("organisation-", i), fmt.Sprint("k", i), fmt.Sprint("l", i))
		o.Rate, o.Burst, o.Priority, o.HasPriority = 9.5, 9.5, 2, true
		c.Organisations = append(c.Organisations, o)
	}
	data, err := cbor.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	if len(data) > 3<<20 {
		t.Errorf("%d bytes, want at most 3 MiB: targets are listed besides", len(data))
	}
	var decoded Config
	if err := cbor.Unmarshal(data, &decoded); err != nil || decoded.validate() != nil {
		t.Fatalf("decoding: %v, %v", err, decoded.validate())
	}
	if o := newOrganisations(&decoded).Holder(HashKey("l9999")); o == nil || o.Name != "organisation-9999" || o.Rate != 9.5 || !o.HasPriority {
		t.Errorf("holder %+v after decoding", o)
	}
}
