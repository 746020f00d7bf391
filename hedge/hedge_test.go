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

// fanOut runs queries over shards of which a share answers slowFactor times
// slower, and returns the queries' p99 and the extras per first attempt.
func fanOut(mode Mode, slow float64) (p99 time.Duration, extra float64) {
	rng := rand.New(rand.NewPCG(3, 5))
	e := New(Options{Mode: mode})
	extras := budget.NewWindow(budget.MaxShare, 0)
	latency := func() time.Duration {
		d := float64(median) * math.Exp(0.3*rng.NormFloat64())
		if rng.Float64() < slow {
			d *= slowFactor
		}
		return time.Duration(d)
	}
	var took []time.Duration
	hedged := 0
	for q := range queries {
		now := epoch.Add(time.Duration(q) * queryInterval)
		var last time.Duration
		for range shards {
			extras.First(now)
			d := latency()
			if delay, ok := e.Delay(now); ok && d > delay && extras.TryExtra(now) {
				hedged++
				d = min(d, delay+latency())
			}
			e.Observe(now, d)
			last = max(last, d)
		}
		took = append(took, last)
	}
	slices.Sort(took)
	return took[len(took)*99/100], float64(hedged) / (queries * shards)
}

// With 40 shards and 1% stragglers of 20 times the median, p99 of whole
// queries is at most 0.4 of that without hedging, for at most 5% extra load.
func TestStragglers(t *testing.T) {
	plain, none := fanOut(ModeOff, 0.01)
	if none != 0 {
		t.Fatalf("%.4f extras with hedging off", none)
	}
	for _, mode := range []Mode{ModeAdaptive, ModeFixed} {
		p99, extra := fanOut(mode, 0.01)
		t.Logf("%s: p99 %v of %v (%.3f), extra load %.4f", mode, p99, plain, float64(p99)/float64(plain), extra)
		if mode == ModeAdaptive && (float64(p99) > 0.4*float64(plain) || extra > 0.05) {
			t.Errorf("p99 %v of %v, extra load %.4f", p99, plain, extra)
		}
	}
}

func TestDelay(t *testing.T) {
	e := New(Options{})
	now := epoch
	if d, ok := e.Delay(now); !ok || d != DefaultStartDelay {
		t.Errorf("without samples: %v %v", d, ok)
	}
	feed := func(base time.Duration) {
		for i := range 1000 {
			e.Observe(now, base*time.Duration(1000+i)/1000)
		}
	}
	within := func(want time.Duration) {
		t.Helper()
		// A bucket is 2^(1/8) wide.
		if d, _ := e.Delay(now); d < want || float64(d) > 1.1*float64(want) {
			t.Errorf("delay %v, want about %v", d, want)
		}
	}
	feed(10 * time.Millisecond)
	within(19700 * time.Microsecond)
	// The window forgets within its four generations.
	now = now.Add(generations * DefaultRotation)
	feed(30 * time.Millisecond)
	within(59100 * time.Microsecond)
	now = now.Add(time.Hour)
	if d, _ := e.Delay(now); d != DefaultStartDelay {
		t.Errorf("after an hour without samples: %v", d)
	}
	// A tenth of slow answers must not raise the delay to theirs.
	for i := range 1000 {
		took := 4 * time.Millisecond
		if i%10 == 0 {
			took *= 100
		}
		e.Observe(now, took)
	}
	within(DefaultMedianRatio * 4 * time.Millisecond)
}
