package bench

import (
	"context"
	"time"

	"github.com/goldcrestmux/goldcrestmux/standin"
)

// Recovery tells how targets that turned cold came back, in times from the moment
// that they were seen to be cold. Times are zero if it was not seen.
type Recovery struct {
	// WarmAfter is when the last target bore its full share again.
	WarmAfter standin.Duration `json:"bears"`
	// FullLimitAfter is when the relays together could use the last target's full share.
	FullLimitAfter standin.Duration `json:"used"`
}

// never is the ratio of a return that was not seen.
const never = 1e9

func (r *Recovery) ratio() float64 {
	if r == nil || r.WarmAfter == 0 || r.FullLimitAfter == 0 {
		return never
	}
	return float64(r.FullLimitAfter) / float64(r.WarmAfter)
}

// watch follows the targets until they are back or the context ends.
func (t *tier) watch(ctx context.Context, targets []string) *Recovery {
	out := &Recovery{}
	var cold time.Time
	for out.WarmAfter == 0 || out.FullLimitAfter == 0 {
		if sleep(ctx, pollInterval) != nil {
			return out
		}
		bears, used, err := t.share(ctx, targets)
		now := time.Now()
		switch {
		case err != nil:
		case cold.IsZero() && !bears:
			cold = now
		case cold.IsZero():
		default:
			note(&out.WarmAfter, bears, now.Sub(cold))
			note(&out.FullLimitAfter, used && out.WarmAfter > 0, now.Sub(cold))
		}
	}
	return out
}

func note(field *standin.Duration, reached bool, after time.Duration) {
	if reached && *field == 0 {
		*field = standin.Duration(after)
	}
}

// share tells whether all of the targets bear their full share, and whether
// the relays may use it.
func (t *tier) share(ctx context.Context, targets []string) (bears, used bool, err error) {
	ledger, err := t.admin.Ledger(ctx, time.Time{})
	if err != nil {
		return false, false, err
	}
	limits, err := t.limits()
	if err != nil {
		return false, false, err
	}
	bears, used = true, true
	for _, s := range ledger.Targets {
		for _, name := range targets {
			bears = bears && (s.Target != name || s.Warm)
		}
	}
	for _, l := range t.layout.Targets {
		for _, name := range targets {
			used = used && (l.Name != name || limits[name] >= l.Slots)
		}
	}
	return bears, used, nil
}
