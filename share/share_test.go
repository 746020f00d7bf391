package share

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func names(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("front-%d", i)
	}
	return out
}

func TestSharesAddUpToLimit(t *testing.T) {
	for _, n := range []int{1, 6, 9, 75, 300} {
		members := names(n)
		for _, limit := range []float64{3, 11, 52, 60, 190} {
			for key := range 20 {
				sum := 0
				for _, self := range members {
					f := Fleet{Self: self, Members: members}
					sum += f.Share(limit, fmt.Sprint(key))
				}
				if want := int(limit * dividedFraction); sum != want {
					t.Fatalf("%d processes use %d of a limit of %v, want %d", n, sum, limit, want)
				}
			}
		}
	}
}

// The shares add up to at most the limit although some processes have restarted
// and know only some of the others, or learn of a new or stopped process late.
func TestSharesWithinLimitWithStaleMembers(t *testing.T) {
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 1))
		n := 4 + rng.IntN(9)
		members := names(n)
		limit := float64(10 + rng.IntN(100))
		sum := 0
		for i, self := range members {
			f := Fleet{Self: self, Members: members}
			switch rng.IntN(4) {
			case 0: // has just restarted: knows some members and an assumed size
				f.Members, f.AssumedSize = append([]string{self}, members[:rng.IntN(i+1)]...), 16
			case 1: // does not know the newest process yet
				if i < n-1 {
					f.Members = members[:n-1]
				}
			case 2: // counts a process that has stopped
				f.Members = append([]string{"gone"}, members...)
			}
			sum += f.Share(limit, "key")
		}
		if float64(sum) > limit {
			t.Fatalf("seed %d: %d processes use %d of a limit of %v", seed, n, sum, limit)
		}
	}
}

func TestRateLimitInAnyWindow(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 3))
	var r RateLimiter
	var sent []time.Time
	now := time.Unix(1_700_000_000, 0)
	for range 5000 {
		now = now.Add(time.Duration(rng.IntN(200)) * time.Millisecond)
		if r.Allows(now, 3) {
			r.Add(now)
			sent = append(sent, now)
		}
	}
	for i := range sent {
		if i >= 3 && sent[i].Sub(sent[i-3]) < time.Second {
			t.Fatalf("four events within %v", sent[i].Sub(sent[i-3]))
		}
	}
	if len(sent) < 1000 {
		t.Fatalf("only %d events allowed in 500 s with a limit of 3 per second", len(sent))
	}
}
