package bench

import (
	"context"
	"time"

	"github.com/goldcrestmux/goldcrestmux/standin"
)

// Recovery says how long targets that turned cold took to recover. Times are
// relative to the first observation that one of them was cold, and zero if the
// event was not observed.
type Recovery struct {
	// WarmAfter is the time until all targets were warm again.
	WarmAfter standin.Duration `json:"bears"`
	// FullLimitAfter is the time until the relays together could use all slots of
	// the targets.
	FullLimitAfter standin.Duration `json:"used"`
}

// notRecovered is the ratio of a recovery that was not observed. It misses every
// upper bound.
const notRecovered = 1e9

func (r *Recovery) ratio() float64 {
	if r == nil || r.WarmAfter == 0 || r.FullLimitAfter == 0 {
		return notRecovered
	}
	return float64(r.FullLimitAfter) / float64(r.WarmAfter)
}

// watchRecovery polls the targets until they have recovered or the context ends.
func (t *tier) watchRecovery(ctx context.Context, targets []string) *Recovery {
	out := &Recovery{}
	var coldSince time.Time
	for out.WarmAfter == 0 || out.FullLimitAfter == 0 {
		if sleep(ctx, pollInterval) != nil {
			return out
		}
		warm, full, err := t.recoveryState(ctx, targets)
		now := time.Now()
		switch {
		case err != nil:
		case coldSince.IsZero() && !warm:
			coldSince = now
		case coldSince.IsZero():
		default:
			setOnce(&out.WarmAfter, warm, now.Sub(coldSince))
			setOnce(&out.FullLimitAfter, full && out.WarmAfter > 0, now.Sub(coldSince))
		}
	}
	return out
}

func setOnce(field *standin.Duration, reached bool, after time.Duration) {
	if reached && *field == 0 {
		*field = standin.Duration(after)
	}
}

// recoveryState reports whether all of the targets are warm, and whether the
// relays may use all of their slots.
func (t *tier) recoveryState(ctx context.Context, targets []string) (warm, full bool, err error) {
	ledger, err := t.admin.Ledger(ctx, time.Time{})
	if err != nil {
		return false, false, err
	}
	limits, err := t.limits()
	if err != nil {
		return false, false, err
	}
	warm, full = true, true
	for _, s := range ledger.Targets {
		for _, name := range targets {
			warm = warm && (s.Target != name || s.Warm)
		}
	}
	for _, l := range t.layout.Targets {
		for _, name := range targets {
			full = full && (l.Name != name || limits[name] >= l.Slots)
		}
	}
	return warm, full, nil
}
