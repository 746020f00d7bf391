package hedge

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/budget"
)

const (
	median        = 5 * time.Millisecond
	shards        = 40
	queries       = 4000
	queryInterval = 10 * time.Millisecond
	slowFactor    = 20
)

var epoch = time.Unix(1_700_000_000, 0)

// fanOut simulates queries over shards, with 1% of the attempts slowFactor times
// slower, and returns the p99 of the queries' latencies and the number of extra
// attempts per first attempt.
func fanOut(mode Mode) (p99 time.Duration, extraLoad float64) {
	rng := rand.New(rand.NewPCG(3, 5))
	e, window := New(Options{Mode: mode}), budget.NewWindow(budget.MaxFraction, 0)
	latency := func() time.Duration {
		d := float64(median) * math.Exp(0.3*rng.NormFloat64())
		if rng.Float64() < 0.01 {
			d *= slowFactor
		}
		return time.Duration(d)
	}
	latencies, hedged := make([]time.Duration, queries), 0
	for q := range latencies {
		now := epoch.Add(time.Duration(q) * queryInterval)
		for range shards {
			window.AddFirst(now)
			d := latency()
			if delay, ok := e.Delay(now); ok && d > delay && window.TryExtra(now) {
				hedged++
				d = min(d, delay+latency())
			}
			e.Observe(now, d)
			latencies[q] = max(latencies[q], d)
		}
	}
	slices.Sort(latencies)
	return latencies[queries*99/100], float64(hedged) / (queries * shards)
}

// With 40 shards and 1% of the attempts 20 times slower, hedging reduces the p99
// of queries to at most 0.4 of that without hedging, for at most 5% extra load.
func TestHedgingReducesTailLatency(t *testing.T) {
	unhedged, _ := fanOut(ModeOff)
	for _, mode := range []Mode{ModeAdaptive, ModeFixed} {
		p99, extraLoad := fanOut(mode)
		t.Logf("%s: p99 %v of %v, extra load %.4f", mode, p99, unhedged, extraLoad)
		if float64(p99) > 0.4*float64(unhedged) || extraLoad > 0.05 {
			t.Errorf("%s: p99 %v of %v, extra load %.4f", mode, p99, unhedged, extraLoad)
		}
	}
}

// The delay follows the latencies of the last seconds. If a tenth of the responses
// is slow, the delay stays below the latency of the slow ones.
func TestDelay(t *testing.T) {
	e, now := New(Options{}), epoch
	for _, tt := range []struct {
		idle    time.Duration
		latency time.Duration
		slow    time.Duration
		want    time.Duration
	}{
		{0, 10 * time.Millisecond, 10 * time.Millisecond, 10 * time.Millisecond},
		{generations * DefaultRotationInterval, 30 * time.Millisecond, 30 * time.Millisecond, 30 * time.Millisecond},
		{time.Hour, 4 * time.Millisecond, time.Second, DefaultMedianRatio * 4 * time.Millisecond},
	} {
		now = now.Add(tt.idle)
		if d, ok := e.Delay(now); !ok || d != DefaultInitialDelay {
			t.Errorf("after %v without samples: delay %v, want the initial delay", tt.idle, d)
		}
		for i := range 1000 {
			e.Observe(now, tt.latency)
			if i%10 == 0 {
				e.Observe(now, tt.slow)
			}
		}
		// The bounds of a bucket differ by a factor of 2^(1/8).
		if d, _ := e.Delay(now); d < tt.want || float64(d) > 1.1*float64(tt.want) {
			t.Errorf("delay %v, want about %v", d, tt.want)
		}
	}
}
