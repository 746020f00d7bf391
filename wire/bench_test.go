package wire

import (
	"fmt"
	"testing"

	"github.com/goldcrestmux/goldcrestmux/code"
)

// benchFrames returns frames that carry the sub-requests or sub-responses of one
// query.
func benchFrames() map[string]*Frame {
	records := make([]Record, 20)
	for i := range records {
		records[i] = Record{
			Key: fmt.Sprintf("entry-%05d", i), Score: 0.75,
			Fields: RawJSON(`{"title":"owl at dusk","category":"nature"}`),
		}
	}
	frames := make(map[string]*Frame)
	for _, n := range []int{20, 920} {
		batch := Batch{QueryID: 7, Search: "judges", Version: "v1", Payload: []byte(`{"text":"owl","limit":20}`), DeadlineMicros: 90_000}
		responses := make([]SubResponse, n)
		for i := range n {
			shard, target := fmt.Sprintf("s%03d", i), fmt.Sprintf("judges-%03d-a", i)
			batch.SubRequests = append(batch.SubRequests, SubRequest{ID: 7<<20 | uint64(i), Shard: shard, Target: target})
			responses[i] = SubResponse{
				ID: 7<<20 | uint64(i), QueryID: 7, Version: "v1", Shard: shard, Target: target, Code: code.OK, Run: code.Ran,
				Records: records, Matched: 20, ServiceMicros: 2000,
			}
		}
		frames[fmt.Sprint(n, "requests")] = &Frame{Batches: []Batch{batch}}
		frames[fmt.Sprint(n, "responses")] = &Frame{SubResponses: responses}
	}
	return frames
}

func BenchmarkEncode(b *testing.B) {
	for name, frame := range benchFrames() {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Encode(frame); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkDecode(b *testing.B) {
	for name, frame := range benchFrames() {
		b.Run(name, func(b *testing.B) {
			data, err := Encode(frame)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			b.SetBytes(int64(len(data)))
			for b.Loop() {
				if _, err := Decode(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
