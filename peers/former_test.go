package peers

import (
	"encoding/hex"
	"math/rand/v2"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/goldcrestmux/goldcrestmux/quarantine"
)

// formerMember and formerMessage are the layout of gossip messages at commit ba52cb5. They
// must not follow changes of the layout.
type formerMember struct {
	Name       string `cbor:"1,keyasint"`
	Address    string `cbor:"2,keyasint"`
	Started    int64  `cbor:"3,keyasint"`
	Heartbeat  uint64 `cbor:"4,keyasint"`
	DataCentre string `cbor:"5,keyasint"`
	Capacity   uint32 `cbor:"6,keyasint,omitempty"`
	Load       *Load  `cbor:"7,keyasint,omitempty"`
	CutOff     bool   `cbor:"8,keyasint,omitempty"`
}

type formerMessage struct {
	Members   []formerMember      `cbor:"1,keyasint"`
	WantReply bool                `cbor:"2,keyasint,omitempty"`
	Reports   []quarantine.Report `cbor:"3,keyasint,omitempty"`
}

// recordedMessage returns a message as the build of commit ba52cb5 encoded it.
func recordedMessage(t *testing.T) []byte {
	t.Helper()
	text, err := os.ReadFile("testdata/build-ba52cb5/message.hex")
	if err != nil {
		t.Fatal(err)
	}
	data, err := hex.DecodeString(strings.ReplaceAll(string(text), "\n", ""))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against gossip of the former build that this one cannot read or reads otherwise:
// the fleet would fall into two parts during an upgrade.
func TestMessageOfFormerBuildIsDecoded(t *testing.T) {
	var m Message
	if err := cbor.Unmarshal(recordedMessage(t), &m); err != nil {
		t.Fatal(err)
	}
	var former formerMessage
	if err := cbor.Unmarshal(recordedMessage(t), &former); err != nil {
		t.Fatal(err)
	}
	if len(m.Members) != 2 || m.Members[0].ConfigSchema != 0 || m.Members[0].Name != "front-1" || len(m.Reports) != 1 || !m.Reports[0].Quarantined {
		t.Fatalf("decoded %+v", m)
	}
	again, err := cbor.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	var reencoded formerMessage
	if err := cbor.Unmarshal(again, &reencoded); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(reencoded, former) {
		t.Errorf("fields changed on the way through this build:\n%+v\nwant\n%+v", reencoded, former)
	}
	s := New(time.Unix(0, 0), Options{Self: Member{Name: "front-3", Address: "10.0.0.3:1", DataCentre: "dc1"}, MaxMembers: 24, Rand: rand.New(rand.NewPCG(1, 1))})
	if _, added := s.Receive(time.Unix(0, 0), m); len(added) != 2 {
		t.Errorf("members %v were added, want both of the message", added)
	}
}

// Guards against gossip of this build that the former one cannot read.
func TestMessageOfThisBuildIsDecodedByFormerOne(t *testing.T) {
	data, err := cbor.Marshal(Message{Members: []Member{{Name: "a", Address: "10.0.0.1:1", Started: 5, Heartbeat: 6, DataCentre: "dc1", CutOff: true, ConfigSchema: 3}}, WantReply: true})
	if err != nil {
		t.Fatal(err)
	}
	var former formerMessage
	if err := cbor.Unmarshal(data, &former); err != nil {
		t.Fatal(err)
	}
	want := formerMessage{Members: []formerMember{{Name: "a", Address: "10.0.0.1:1", Started: 5, Heartbeat: 6, DataCentre: "dc1", CutOff: true}}, WantReply: true}
	if !reflect.DeepEqual(former, want) {
		t.Errorf("former build decodes %+v, want %+v", former, want)
	}
}

// A process of the former build drops the schema when it passes a member on. The schema of
// the same run must then stay known, or processes would stop reading from their peers at each
// such message; a new run may be of the former build.
func TestSchemaSurvivesGossipOfFormerBuild(t *testing.T) {
	now := time.Unix(0, 0)
	s := New(now, Options{Self: Member{Name: "self", Address: "10.0.0.9:1"}})
	receive := func(started int64, heartbeat uint64, schema uint32) uint32 {
		s.Receive(now, Message{Members: []Member{{Name: "a", Address: "10.0.0.1:1", Started: started, Heartbeat: heartbeat, ConfigSchema: schema}}})
		return s.Members()[0].ConfigSchema
	}
	for i, c := range []struct {
		started   int64
		heartbeat uint64
		sent      uint32
		want      uint32
	}{{1, 1, 0, 0}, {1, 2, 1, 1}, {1, 3, 0, 1}, {1, 4, 1, 1}, {2, 1, 0, 0}} {
		if got := receive(c.started, c.heartbeat, c.sent); got != c.want {
			t.Errorf("step %d: schema %d, want %d", i, got, c.want)
		}
	}
}
