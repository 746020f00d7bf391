package follow

import (
	"context"
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/wire"
	"github.com/juju/errors"
)

var eraEpoch = time.Unix(1_700_000_000, 0)

func TestErasAcceptOnlyCurrentOrLaterOnes(t *testing.T) {
	var e Eras
	check := func(what string, got, want error) {
		t.Helper()
		if !errors.Is(got, want) {
			t.Errorf("%s: %v, want %v", what, got, want)
		}
	}
	check("first listing", e.CheckList(eraEpoch, 2, true, true), nil)
	check("watch of the same era", e.CheckWatch(eraEpoch, 2, true), nil)
	check("watch of a later era", e.CheckWatch(eraEpoch, 3, true), ErrRestored)
	check("stale listing of the former era", e.CheckList(eraEpoch, 1, true, true), ErrFormerEra)
	check("listing of the later era", e.CheckList(eraEpoch, 3, true, false), nil)
	check("watch of the former era by a peer", e.CheckWatch(eraEpoch, 2, false), ErrFormerEra)
	check("listing of the former era by a peer", e.CheckList(eraEpoch.Add(time.Hour), 2, false, false), ErrFormerEra)
	check("answer without an era", e.CheckWatch(eraEpoch, 0, true), ErrFormerEra)
}

// A store that tells lower eras only, for long, was restored without its era: its answers
// must be used some time.
func TestLowerEraIsAcceptedInTheEnd(t *testing.T) {
	var e Eras
	_ = e.CheckList(eraEpoch, 7, true, false)
	at := func(s int) time.Time { return eraEpoch.Add(time.Duration(s) * time.Second) }
	if err := e.CheckWatch(at(10), 6, true); !errors.Is(err, ErrFormerEra) {
		t.Fatalf("error %v, want %v", err, ErrFormerEra)
	}
	_ = e.CheckWatch(at(20), 7, true) // the current era again: the count starts anew
	for _, s := range []int{21, 30, 50} {
		if err := e.CheckWatch(at(s), 6, true); !errors.Is(err, ErrFormerEra) {
			t.Fatalf("after %d s: error %v, want %v", s, err, ErrFormerEra)
		}
	}
	if err := e.CheckWatch(at(51), 6, true); !errors.Is(err, ErrRestored) {
		t.Fatalf("error %v, want %v", err, ErrRestored)
	}
	if err := e.CheckList(at(52), 6, true, false); err != nil {
		t.Fatal(err)
	}
	if era, _ := e.Current(); era != 6 {
		t.Errorf("era %d, want 6", era)
	}
}

// A listing after a restoration must be fresh until one has succeeded: a replica that lags
// may still be of the former era.
func TestListingAfterRestorationIsFresh(t *testing.T) {
	s := newTestScheduler()
	s.Listed(40)
	if step := s.Failed(errors.Trace(ErrRestored)); step.Op != OpList || step.Stale || step.Delay != 0 {
		t.Fatalf("step %+v, want an immediate fresh listing", step)
	}
	if step := s.Failed(errors.New("timeout")); step.Op != OpList || step.Stale {
		t.Fatalf("step %+v after a failed listing, want a fresh listing", step)
	}
	s = newTestScheduler()
	if step := s.Failed(ErrFormerEra); step.Op != OpList || step.Stale {
		t.Fatalf("step %+v after a listing of a former era, want a fresh listing", step)
	}
}

// A peer that has read a later era tells that its changes do not follow, and serves no
// configuration that is older than the one before the store was restored.
func TestFeedOfLaterEra(t *testing.T) {
	f := NewFeed()
	config := func(version, revision uint64) catalog.Item {
		return catalog.Item{Kind: catalog.KindConfig, Revision: revision, Config: &catalog.Config{Version: version, Schema: catalog.ConfigSchema}}
	}
	f.Listed(time.Now(), Batch{Era: 1, Revision: 20, Items: []catalog.Item{config(9, 20)}})
	f.Listed(time.Now(), Batch{Era: 2, Revision: 10, Items: []catalog.Item{config(8, 5)}})
	response, err := f.Respond(context.Background(), wire.FeedRequest{Era: 1, After: 20})
	if err != nil || !response.Compacted || response.Era != 2 {
		t.Fatalf("response %+v, error %v, want one of era 2 that requires a listing", response, err)
	}
	response, err = f.Respond(context.Background(), wire.FeedRequest{List: true})
	if err != nil {
		t.Fatal(err)
	}
	b, err := decodeBatch(&response)
	if err != nil || len(b.Items) != 1 || b.Items[0].Config.Version != 9 || b.Era != 2 {
		t.Fatalf("batch %+v, error %v, want version 9 in era 2", b, err)
	}
}
