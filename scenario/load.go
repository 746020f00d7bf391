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
	report *load.Report // valid after done is closed, unless err is set
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

// wait waits for the end of the run and returns its report.
func (r *loadRun) wait() (*load.Report, error) {
	if r == nil {
		return nil, errors.New("no load has been started")
	}
	<-r.done
	return r.report, r.err
}

// stop cancels the run and waits for its end.
func (r *loadRun) stop() {
	if r != nil {
		r.cancel()
		<-r.done
	}
}

// parsePlan returns a plan of one stream from "key=value" words. The key "duration"
// belongs to the plan, all others to the stream.
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

// toJSON returns the value itself if it is valid JSON, true if it is empty, and
// otherwise the value as a JSON string.
func toJSON(value string) json.RawMessage {
	if value == "" {
		return json.RawMessage("true")
	}
	if json.Valid([]byte(value)) {
		return json.RawMessage(value)
	}
	data, _ := json.Marshal(value) // encoding a string cannot fail
	return data
}

// decodeStrict decodes JSON and returns an error for unknown keys.
func decodeStrict(data []byte, to any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	return errors.Trace(decoder.Decode(to))
}
