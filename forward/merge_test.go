package forward

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"testing"
)

func TestGreatestEqualsSortingAll(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 3))
		var parts [][]byte
		var all [][]byte
		for range rng.IntN(6) {
			var part []byte
			for range rng.IntN(12) {
				record := bytes.Repeat([]byte{byte(rng.IntN(5))}, recordBytes) // many equal ones
				record[15] = byte(rng.IntN(3))
				part = append(part, record...)
				all = append(all, record)
			}
			part = append(part, make([]byte, rng.IntN(recordBytes))...) // a remainder is no record
			parts = append(parts, part)
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		top := 1 + rng.IntN(30)
		want := slices.Concat(all[:min(top, len(all))]...)
		if got := greatest(parts, top); !bytes.Equal(got, want) {
			t.Fatalf("seed %d: got %x, want %x", seed, got, want)
		}
	}
}
