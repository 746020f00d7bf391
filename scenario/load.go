package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strings"

	"github.com/juju/errors"

	"github.com/goldcrestmux/goldcrestmux/load"
)

// loadRun is a run of the load generator.
type loadRun struct {
	cancel context.CancelFunc
	done   chan struct{}
	report *load.Report // set once done is closed, unless err is
	err    error
}

func startLoad(plan load.Plan) *loadRun {
	ctx, cancel := context.WithCancel(context.Background())
	r := &loadRun{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(r.done)
		r.report, r.err = load.Run(ctx, plan, io.Discard)
	}()
	return r
}

// wait returns the report at the end of the run.
func (r *loadRun) wait() (*load.Report, error) {
	if r == nil {
		return nil, errors.New("no load was started")
	}
	<-r.done
	return r.report, r.err
}

// stop breaks the run off.
func (r *loadRun) stop() {
	if r != nil {
		r.cancel()
		<-r.done
	}
}

// parsePlan makes a plan from "key=value" words: the duration, and the keys of a stream.
func parsePlan(words []string) (load.Plan, error) {
	stream := make(map[string]json.RawMessage)
	plan := make(map[string]any)
	for _, word := range words {
		key, value, _ := strings.Cut(word, "=")
		if key == "duration" {
			plan[key] = value
			continue
		}
		stream[key] = toJSON(value)
	}
	plan["streams"] = []any{stream}
	data, err := json.Marshal(plan)
	if err != nil {
		return load.Plan{}, errors.Trace(err)
	}
	return load.ParsePlan(data)
}

// toJSON returns the value itself if it is JSON, "true" for none, and
// otherwise a JSON string.
func toJSON(value string) json.RawMessage {
	if value == "" {
		return json.RawMessage("true")
	}
	if json.Valid([]byte(value)) {
		return json.RawMessage(value)
	}
	data, _ := json.Marshal(value) // a string can't fail to encode
	return data
}

// decodeStrictly refuses unknown keys.
func decodeStrictly(data []byte, to any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	return errors.Trace(decoder.Decode(to))
}
