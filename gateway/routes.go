package gateway

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/goldcrestmux/goldcrestmux/budget"
	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/folder"
	"github.com/goldcrestmux/goldcrestmux/hedge"
	"github.com/goldcrestmux/goldcrestmux/query"
	"github.com/goldcrestmux/goldcrestmux/replica"
	"github.com/goldcrestmux/goldcrestmux/snapshot"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// routes holds the state that all queries of a gateway share: the routes to
// targets, the retry budgets, and for each search the hedge delay and the choice
// of index versions. Its methods are safe for concurrent use unless stated
// otherwise. mu is a leaf lock.
type routes struct {
	mu           sync.Mutex
	rng          *rand.Rand
	table        *replica.Table
	budgets      *budget.Table
	hedging      hedge.Options
	searches     map[string]*searchState
	targets      map[string]struct{}
	versions     map[versionKey]*indexVersion
	unresponsive []replica.Exclusion // relays, each excluded for all targets
}

// searchState is the state of one search. It is guarded by routes.mu.
type searchState struct {
	hedge    *hedge.Estimator
	versions *snapshot.Chooser
}

func newRoutes(seed uint64, hedging hedge.Options, choice replica.Options) *routes {
	return &routes{
		rng:      rand.New(rand.NewPCG(seed, 2)),
		table:    replica.New(choice),
		budgets:  budget.NewTable(budget.Options{}),
		hedging:  hedging,
		searches: make(map[string]*searchState),
		targets:  make(map[string]struct{}),
	}
}

// setContracts replaces the contracts and the shard maps of their versions.
func (r *routes) setContracts(now time.Time, c *folder.Contracts, versions map[versionKey]*indexVersion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions = versions
	for name, t := range c.Targets {
		inService := t.State != folder.StateLeaving && c.DataCentres[t.DataCentre].State != folder.StateOut
		r.table.SetTarget(name, t.DataCentre, inService)
		r.targets[name] = struct{}{}
	}
	for name := range r.targets {
		if _, ok := c.Targets[name]; !ok {
			r.table.RemoveTarget(name)
			delete(r.targets, name)
		}
	}
	r.setSearches(now, c.Searches)
}

func (r *routes) setSearches(now time.Time, searches map[string]folder.Search) {
	for name, s := range searches {
		state := r.searches[name]
		if state == nil {
			state = &searchState{hedge: hedge.New(r.hedging), versions: snapshot.New(snapshot.Options{})}
			r.searches[name] = state
		}
		state.versions.SetVersions(now, s)
		r.budgets.SetFraction(name, s.HedgeFraction)
	}
	for name := range r.searches {
		if _, ok := searches[name]; !ok {
			r.budgets.ForgetSearch(name)
			delete(r.searches, name)
		}
	}
}

func (r *routes) setGrants(relay string, grants []wire.Grant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.SetGrants(relay, grants)
}

func (r *routes) removeRelay(relay string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.RemoveRelay(relay)
	r.unresponsive = slices.DeleteFunc(r.unresponsive, func(e replica.Exclusion) bool { return e.Relay == relay })
}

// setUnresponsive records whether a relay is unresponsive.
func (r *routes) setUnresponsive(relay string, unresponsive bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	exclusion := replica.Exclusion{Relay: relay}
	r.unresponsive = slices.DeleteFunc(r.unresponsive, func(e replica.Exclusion) bool { return e == exclusion })
	if unresponsive {
		r.unresponsive = append(r.unresponsive, exclusion)
	}
}

// pick returns a route. It avoids unresponsive relays if there is another
// route. r.mu must be held.
func (r *routes) pick(now time.Time, targets []string, purpose replica.Purpose, exclude []replica.Exclusion) (replica.Choice, code.Code) {
	if len(r.unresponsive) > 0 {
		extended := append(slices.Clone(exclude), r.unresponsive...)
		if choice, c := r.table.Pick(now, r.rng, targets, purpose, extended); c == code.OK {
			return choice, c
		}
	}
	return r.table.Pick(now, r.rng, targets, purpose, exclude)
}

// uncoveredSearch returns the name of a search that has a shard without a usable
// replica, or "" if there is none.
func (r *routes) uncoveredSearch(now time.Time) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, s := range r.searches {
		version, _ := s.versions.ChooseOther(now, "")
		v := r.versions[versionKey{name, version}]
		if v == nil || !r.covers(now, v) {
			return name
		}
	}
	return ""
}

// covers reports whether each shard of a version has a usable replica. r.mu must
// be held.
func (r *routes) covers(now time.Time, v *indexVersion) bool {
	for _, shard := range v.shards {
		if _, c := r.table.Pick(now, r.rng, shard.Replicas, replica.FirstAttempt, nil); c == code.NoReplica {
			return false
		}
	}
	return true
}

// choose returns the index version for a new query to pin, or nil if there is
// none.
func (r *routes) choose(now time.Time, search string) *indexVersion {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.searches[search]
	if s == nil {
		return nil
	}
	version, _ := s.versions.Choose(now)
	return r.versions[versionKey{search, version}]
}

// chooseOther returns another version for a query whose pinned version is no
// longer served, or nil if there is none.
func (r *routes) chooseOther(now time.Time, search, pinned string) *indexVersion {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.searches[search]
	if s == nil {
		return nil
	}
	version, ok := s.versions.ChooseOther(now, pinned)
	if !ok || version == pinned {
		return nil
	}
	return r.versions[versionKey{search, version}]
}

// recordResponse records which index versions a target serves according to its
// response.
func (r *routes) recordResponse(now time.Time, search, version string, response *wire.SubResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.searches[search]
	if s == nil {
		return
	}
	switch response.Code {
	case code.OK:
		s.versions.RecordServed(now, response.Target, version)
	case code.VersionGone, code.VersionNotLoaded:
		s.versions.RecordRefusal(now, response.Target, version, response.Code, response.Versions)
	}
}

// medianLatency returns the median latency of a search's sub-requests, or 0 if it
// is unknown.
func (r *routes) medianLatency(now time.Time, search string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.searches[search]
	if s == nil {
		return 0
	}
	return s.hedge.Quantile(now, 0.5)
}

// lacksVersion reports whether a target is known not to serve a version.
func (r *routes) lacksVersion(now time.Time, search, target, version string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.searches[search]
	return s != nil && s.versions.Lacks(now, target, version)
}

// searchRoutes implements query.Router and query.Budget for the queries of one
// search.
type searchRoutes struct {
	*routes
	search string
}

// Pick implements query.Router.
func (s searchRoutes) Pick(now time.Time, targets []string, purpose replica.Purpose, exclude []replica.Exclusion) (replica.Choice, code.Code) {
	s.mu.Lock()
	defer s.mu.Unlock()
	choice, c := s.pick(now, targets, purpose, exclude)
	if c != code.OK && purpose == replica.ExtraAttempt {
		metrics.deniedExtras.Add(string(c), 1)
	}
	return choice, c
}

// Sent implements query.Router.
func (s searchRoutes) Sent(_ time.Time, c replica.Choice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Sent(c.Relay, c.Target)
}

// Done implements query.Router.
func (s searchRoutes) Done(now time.Time, c replica.Choice, o query.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Done(now, c.Relay, c.Target, replica.Outcome{
		Code:        o.Code,
		QueueLength: o.QueueLength,
		ServiceTime: o.ServiceTime,
		RetryAfter:  o.RetryAfter,
	})
	state := s.searches[s.search]
	if o.Code == code.OverBudget {
		metrics.deniedExtras.Add(string(o.Code), 1)
	}
	if state != nil && o.FirstAttempt && (o.Code == code.OK || o.Code == code.Canceled) {
		state.hedge.Observe(now, o.Elapsed)
	}
}

// AddFirst implements query.Budget. It ignores the target, because relays bound
// the extra attempts to each target.
func (s searchRoutes) AddFirst(now time.Time, _ string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budgets.AddFirst(now, s.search, "")
}

// TryExtra implements query.Budget.
func (s searchRoutes) TryExtra(now time.Time, _ string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	allowed := s.budgets.TryExtra(now, s.search, "")
	if !allowed {
		metrics.deniedExtras.Add(searchBudgetExhausted, 1)
	}
	return allowed
}

// hedgeDelay returns the current delay after which an attempt is hedged, or false
// if none is.
func (s searchRoutes) hedgeDelay(now time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.searches[s.search]
	if state == nil {
		return 0, false
	}
	return state.hedge.Delay(now)
}
