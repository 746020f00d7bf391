package wire

import (
	"reflect"
	"testing"
)

func TestFrameRoundTrip(t *testing.T) {
	want := &Frame{
		Batches: []Batch{{
			QueryID: 7, Search: "judges", Version: "v3", Payload: []byte(`{"text":"owl"}`),
			DeadlineMicros: 1500, SubRequests: []SubRequest{{ID: 1, Shard: "s00", Target: "judge-01-a"}},
		}},
		SubResponses: []SubResponse{{ID: 9, Records: []Record{{Key: "k", Score: 2, Fields: RawJSON(`{"a":1}`)}}}},
		Grants:       []Grant{{Target: "judge-01-a", State: TargetWarm, Limit: 2}},
	}
	data, err := Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	clear(data) // links reuse the buffer, so the frame must not refer to it
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("decoded %+v, want %+v", got, want)
	}
}

func FuzzDecode(f *testing.F) {
	seed, _ := Encode(&Frame{Ping: &Ping{Seq: 4}})
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := Decode(data)
		if err != nil {
			return
		}
		if _, err := Encode(frame); err != nil {
			t.Fatalf("encode of a decoded frame: %v", err)
		}
	})
}
