package forward

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"testing"
)

func TestMergeTopMatchesSorting(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 3))
		var responses [][]byte
		var all [][]byte
		for range rng.IntN(6) {
			var response []byte
			for range rng.IntN(12) {
				record := bytes.Repeat([]byte{byte(rng.IntN(5))}, recordBytes) // many are equal
				record[15] = byte(rng.IntN(3))
				response = append(response, record...)
				all = append(all, record)
			}
			response = append(response, make([]byte, rng.IntN(recordBytes))...) // an incomplete record is ignored
			responses = append(responses, response)
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		topK := 1 + rng.IntN(30)
		want := slices.Concat(all[:min(topK, len(all))]...)
		if got := mergeTop(responses, topK); !bytes.Equal(got, want) {
			t.Fatalf("seed %d: got %x, want %x", seed, got, want)
		}
	}
}

// A configuration may name any number of records.
func TestMergeTopAllocatesNoMoreThanItHolds(t *testing.T) {
	if got := mergeTop([][]byte{make([]byte, recordBytes)}, 1<<50); len(got) != recordBytes {
		t.Fatalf("%d bytes, want one record", len(got))
	}
}
