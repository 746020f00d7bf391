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

// Durations of the warm-up before the load.
const (
	warmupTimeout = 12 * time.Second
	warmupStep    = time.Second // of load between two checks of the limits of the relays
)

// ExperimentResult is the result of an experiment with all its variants and goals.
type ExperimentResult struct {
	Name        string           `json:"name"`
	Description string           `json:"about"`
	Results     []*VariantResult `json:"results"`
	GoalResults []GoalResult     `json:"verdicts"`
}

// Run runs the variants of an experiment, one after the other, with the programs
// in the directory bin. It writes progress messages to progress.
func Run(ctx context.Context, bin string, x *Experiment, progress io.Writer) (*ExperimentResult, error) {
	out := &ExperimentResult{Name: x.Name, Description: x.Description}
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
		out.GoalResults = append(out.GoalResults, x.Goals[i].evaluate(out.Results))
	}
	return out, nil
}

func runVariant(ctx context.Context, bin string, x *Experiment, v *Variant, progress io.Writer) (*VariantResult, error) {
	start := time.Now()
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
	fmt.Fprintf(progress, "all targets warm: %t; preparation took %v\n", warm, time.Since(start).Round(time.Millisecond))
	result, err := t.measure(ctx, x, v, progress)
	if err != nil {
		return nil, err
	}
	result.Warm = warm
	return result, nil
}

// warmUp sends requests until the relays may use all slots of the targets or
// warmupTimeout has passed. It reports whether the relays may use all slots;
// baselines that exceed limits may never reach that state.
func (t *tier) warmUp(ctx context.Context, x *Experiment) (bool, error) {
	plan := load.Plan{
		Name: "warm-up", Gateways: t.gateways(), Standins: []string{t.standin.Addresses()[proc.ListenAdmin]},
		Duration: standin.Duration(warmupStep), Seed: x.Load.Seed,
	}
	seen := make(map[string]bool)
	for _, search := range x.searches() {
		if !seen[search] {
			plan.Streams = append(plan.Streams, load.Stream{Search: search, Rate: x.WarmupRate, EvenlySpaced: true})
		}
		seen[search] = true
	}
	for deadline := time.Now().Add(warmupTimeout); time.Now().Before(deadline); {
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

// settle runs the load without events before the measurement.
func (t *tier) settle(ctx context.Context, x *Experiment, v *Variant) error {
	if x.Settle == 0 {
		return nil
	}
	plan := x.loadPlan(v, t)
	plan.Events = nil
	plan.Seed++
	plan.Duration = x.Settle
	_, err := load.Run(ctx, plan, io.Discard)
	return errors.Annotate(err, "settle")
}

// measure runs the load with its events. The replacement of VMs and the
// observation of recovery run in the background at the same time.
func (t *tier) measure(ctx context.Context, x *Experiment, v *Variant, progress io.Writer) (*VariantResult, error) {
	result := &VariantResult{Variant: v.Name}
	plan := x.loadPlan(v, t)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var background sync.WaitGroup
	if len(x.WatchedTargets) > 0 && !v.SkipEvents {
		background.Go(func() { result.Recovery = t.watchRecovery(ctx, x.WatchedTargets) })
	}
	for _, e := range x.Events {
		if e.ReplaceVMs && !v.SkipEvents {
			background.Go(func() { result.ReplaceFailure = t.replaceVMsAfter(ctx, e.At.Std()) })
		}
	}
	var err error
	result.Report, err = load.Run(ctx, plan, progress)
	cancel()
	background.Wait()
	if err != nil {
		return nil, err
	}
	result.Processes = t.processMetrics()
	ledger, err := t.admin.Ledger(context.WithoutCancel(ctx), time.Time{})
	result.Targets = ledger.Targets
	return result, err
}

// replaceVMsAfter replaces the VMs after a delay. It returns the reason of a
// failure, or an empty string.
func (t *tier) replaceVMsAfter(ctx context.Context, delay time.Duration) string {
	if sleep(ctx, delay) != nil {
		return "the load ended before the replacement"
	}
	if err := t.replaceVMs(ctx); err != nil {
		return strconv.Quote(err.Error())
	}
	return ""
}
