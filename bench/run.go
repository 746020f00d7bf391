package bench

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/goldcrestmux/goldcrestmux/load"
	"github.com/goldcrestmux/goldcrestmux/proc"
	"github.com/goldcrestmux/goldcrestmux/standin"
)

// Bounds of the time before the load.
const (
	warmTimeout = 12 * time.Second
	warmStep    = time.Second
)

// Outcome is an experiment with its results.
type Outcome struct {
	Name     string    `json:"name"`
	About    string    `json:"about"`
	Results  []*Result `json:"results"`
	Verdicts []Verdict `json:"verdicts"`
}

// Run runs the variants of an experiment, one after the other, with the
// programs in the directory bin. Progress goes to the writer.
func Run(ctx context.Context, bin string, x *Experiment, progress io.Writer) (*Outcome, error) {
	out := &Outcome{Name: x.Name, About: x.About}
	for i := range x.Variants {
		v := &x.Variants[i]
		fmt.Fprintf(progress, "== %s, %s\n", x.Name, v.Name)
		result, err := runVariant(ctx, bin, x, v, progress)
		if err != nil {
			return nil, errors.Annotatef(err, "%s, %s", x.Name, v.Name)
		}
		out.Results = append(out.Results, result)
	}
	for i := range x.Goals {
		out.Verdicts = append(out.Verdicts, x.Goals[i].judge(out.Results))
	}
	return out, nil
}

func runVariant(ctx context.Context, bin string, x *Experiment, v *Variant, progress io.Writer) (*Result, error) {
	began := time.Now()
	t, err := startTier(ctx, bin, x, v)
	if err != nil {
		return nil, err
	}
	defer t.stop()
	warm, err := t.warmUp(ctx, x)
	if err != nil {
		return nil, err
	}
	if err := t.settle(ctx, x, v); err != nil {
		return nil, err
	}
	fmt.Fprintf(progress, "warm %t, started for %v\n", warm, time.Since(began).Round(time.Millisecond))
	result, err := t.measure(ctx, x, v, progress)
	if err != nil {
		return nil, err
	}
	result.Warm = warm
	return result, nil
}

// warmUp sends requests until the relays may use all slots of the targets, and
// reports whether they may. Baselines that break limits may never get there.
func (t *tier) warmUp(ctx context.Context, x *Experiment) (bool, error) {
	plan := load.Plan{
		Name: "warm-up", Gateways: t.gateways(), Standins: []string{t.standin.Addresses()[proc.ListenAdmin]},
		Duration: standin.Duration(warmStep), Seed: x.Load.Seed,
	}
	seen := make(map[string]bool)
	for _, search := range x.searches() {
		if !seen[search] {
			plan.Streams = append(plan.Streams, load.Stream{Search: search, Rate: x.WarmRate, EvenlySpaced: true})
		}
		seen[search] = true
	}
	for end := time.Now().Add(warmTimeout); time.Now().Before(end); {
		plan.Seed++
		if _, err := load.Run(ctx, plan, io.Discard); err != nil {
			return false, errors.Annotate(err, "warm up")
		}
		warm, err := t.warm(x.searches())
		if warm || err != nil {
			return warm, errors.Trace(err)
		}
	}
	return false, nil
}

// settle runs the load without events.
func (t *tier) settle(ctx context.Context, x *Experiment, v *Variant) error {
	if x.Settle == 0 {
		return nil
	}
	plan := x.plan(v, t)
	plan.Events = nil
	plan.Seed++
	plan.Duration = x.Settle
	_, err := load.Run(ctx, plan, io.Discard)
	return errors.Annotate(err, "settle")
}

// measure runs the load with what goes beside it.
func (t *tier) measure(ctx context.Context, x *Experiment, v *Variant, progress io.Writer) (*Result, error) {
	result := &Result{Variant: v.Name}
	plan := x.plan(v, t)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var beside sync.WaitGroup
	if len(x.Watch) > 0 && !v.Calm {
		beside.Go(func() { result.Return = t.watch(ctx, x.Watch) })
	}
	for _, e := range x.Events {
		if e.ReplaceVMs && !v.Calm {
			beside.Go(func() { result.Failure = t.replaceAt(ctx, e.At.Std()) })
		}
	}
	var err error
	result.Report, err = load.Run(ctx, plan, progress)
	cancel()
	beside.Wait()
	if err != nil {
		return nil, err
	}
	result.Processes = t.metrics()
	ledger, err := t.admin.Ledger(context.WithoutCancel(ctx), time.Time{})
	result.Targets = ledger.Targets
	return result, err
}

// replaceAt replaces the VMs after a time, and returns what failed.
func (t *tier) replaceAt(ctx context.Context, after time.Duration) string {
	if sleep(ctx, after) != nil {
		return "the load ended before the replacement"
	}
	if err := t.replace(ctx); err != nil {
		return strconv.Quote(err.Error())
	}
	return ""
}
