package relay

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"testing"

	"github.com/goldcrestmux/goldcrestmux/permit"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// Log queries depend on the keys of the debug line "permit action". A renamed
// field without a tag would change them.
func TestPermitActionLogKeys(t *testing.T) {
	key := permit.Key{Group: "g", Index: 1}
	warm := []wire.WarmTarget{{Target: "t", BootID: "b"}}
	for _, tc := range []struct {
		action permit.Action
		want   string
	}{
		{
			permit.SendReleaseRequest{To: "r", Request: wire.ReleaseRequest{Group: "g", Index: 1, Seq: 2}},
			`{"To":"r","Ask":{"Group":"g","Index":1,"Seq":2}}`,
		},
		{
			permit.SendReleaseResponse{To: "r", Response: wire.ReleaseResponse{
				Group: "g", Index: 1, Released: true, WaitFor: []string{"s"}, Warm: warm, Seq: 2,
				IncompleteHistory: true, Exclusive: true,
			}},
			`{"To":"r","Answer":{"Group":"g","Index":1,"Released":true,"WaitFor":["s"],"Warm":[{"Target":"t","Boot":"b"}],"Seq":2,"Young":true,"Exclusive":true}}`,
		},
		{
			permit.Acquired{Key: key, Warm: warm},
			`{"Key":{"Group":"g","Index":1},"Warm":[{"Target":"t","Boot":"b"}]}`,
		},
		{permit.Draining{Key: key}, `{"Key":{"Group":"g","Index":1}}`},
	} {
		var out bytes.Buffer
		slog.New(slog.NewJSONHandler(&out, nil)).Info("permit action", "action", tc.action)
		var line struct {
			Action json.RawMessage `json:"action"`
		}
		if err := json.Unmarshal(out.Bytes(), &line); err != nil {
			t.Fatal(err)
		}
		if string(line.Action) != tc.want {
			t.Errorf("%T is logged as %s, want %s", tc.action, line.Action, tc.want)
		}
	}
}
