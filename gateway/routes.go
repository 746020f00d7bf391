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

// routes holds what all queries of a gateway share: the routes to targets, the
// budgets, and per search the hedge delay and the choice of index versions.
// It is locked inside; its lock is a leaf lock.
type routes struct {
	mu       sync.Mutex
	rng      *rand.Rand
	table    *replica.Table
	budgets  *budget.Table
	hedging  hedge.Options
	searches map[string]*searchState
	targets  map[string]struct{}
	versions map[versionKey]*pinnedVersion
	quiet    []replica.Exclusion // relays that may be silent
}

// searchState is what a gateway has learned about one search. It is guarded by
// routes.mu.
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

// setContracts puts contracts in force, with the shard maps of their versions.
func (r *routes) setContracts(now time.Time, c *folder.Contracts, versions map[versionKey]*pinnedVersion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions = versions
	for name, t := range c.Targets {
		in := t.State != folder.StateLeaving && c.DataCentres[t.DataCentre].State != folder.StateOut
		r.table.SetTarget(name, t.DataCentre, in)
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

func (r *routes) setHoldings(relay string, holdings []wire.Grant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.SetGrants(relay, holdings)
}

func (r *routes) dropRelay(relay string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.RemoveRelay(relay)
	r.quiet = slices.DeleteFunc(r.quiet, func(a replica.Exclusion) bool { return a.Relay == relay })
}

// setQuiet notes whether a relay may be silent.
func (r *routes) setQuiet(relay string, quiet bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	avoid := replica.Exclusion{Relay: relay}
	r.quiet = slices.DeleteFunc(r.quiet, func(a replica.Exclusion) bool { return a == avoid })
	if quiet {
		r.quiet = append(r.quiet, avoid)
	}
}

// pick returns a route that leads through no quiet relay if there is one.
// Routes.mu is held.
func (r *routes) pick(now time.Time, targets []string, purpose replica.Purpose, avoid []replica.Exclusion) (replica.Choice, code.Code) {
	if len(r.quiet) > 0 {
		both := append(slices.Clone(avoid), r.quiet...)
		if choice, c := r.table.Pick(now, r.rng, targets, purpose, both); c == code.OK {
			return choice, c
		}
	}
	return r.table.Pick(now, r.rng, targets, purpose, avoid)
}

// uncovered returns a search of which a shard can't be reached now, or "".
func (r *routes) uncovered(now time.Time) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, s := range r.searches {
		version, _ := s.versions.ChooseOther(now, "")
		pinned := r.versions[versionKey{name, version}]
		if pinned == nil || !r.reaches(now, pinned) {
			return name
		}
	}
	return ""
}

// reaches reports whether each shard of a version has a usable replica.
// Routes.mu is held.
func (r *routes) reaches(now time.Time, pinned *pinnedVersion) bool {
	for _, shard := range pinned.shards {
		if _, c := r.table.Pick(now, r.rng, shard.Replicas, replica.FirstAttempt, nil); c == code.NoReplica {
			return false
		}
	}
	return true
}

// choose returns the index version that a new query pins, or nil if there is none.
func (r *routes) choose(now time.Time, search string) *pinnedVersion {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.searches[search]
	if s == nil {
		return nil
	}
	version, _ := s.versions.Choose(now)
	return r.versions[versionKey{search, version}]
}

// restart returns another version for a query whose pinned one has vanished,
// or nil.
func (r *routes) restart(now time.Time, search, pinned string) *pinnedVersion {
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

// learn notes what a reply says about the index versions of a target.
func (r *routes) learn(now time.Time, search, version string, reply *wire.SubResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.searches[search]
	if s == nil {
		return
	}
	switch reply.Code {
	case code.OK:
		s.versions.RecordServed(now, reply.Target, version)
	case code.VersionGone, code.VersionNotLoaded:
		s.versions.RecordRefusal(now, reply.Target, version, reply.Code, reply.Versions)
	}
}

// typical returns the median latency of a search's sub-requests.
func (r *routes) typical(now time.Time, search string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.searches[search]
	if s == nil {
		return 0
	}
	return s.hedge.Quantile(now, 0.5)
}

// lacks tells whether a target is known not to serve a version.
func (r *routes) lacks(now time.Time, search, target, version string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.searches[search]
	return s != nil && s.versions.Lacks(now, target, version)
}

// searchRoutes is the view that one query has of the routes: it implements
// query.Router and query.Budget for one search.
type searchRoutes struct {
	*routes
	search string
}

// Pick implements query.Router.
func (s searchRoutes) Pick(now time.Time, targets []string, purpose replica.Purpose, avoid []replica.Exclusion) (replica.Choice, code.Code) {
	s.mu.Lock()
	defer s.mu.Unlock()
	choice, c := s.pick(now, targets, purpose, avoid)
	if c != code.OK && purpose == replica.ExtraAttempt {
		metrics.denied.Add(string(c), 1)
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
		metrics.denied.Add(string(o.Code), 1)
	}
	if state != nil && o.FirstAttempt && (o.Code == code.OK || o.Code == code.Canceled) {
		state.hedge.Observe(now, o.Elapsed)
	}
}

// AddFirst implements query.Budget. The relays bound extra attempts by target.
func (s searchRoutes) AddFirst(now time.Time, _ string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budgets.AddFirst(now, s.search, "")
}

// TryExtra implements query.Budget.
func (s searchRoutes) TryExtra(now time.Time, _ string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	granted := s.budgets.TryExtra(now, s.search, "")
	if !granted {
		metrics.denied.Add(deniedBySearch, 1)
	}
	return granted
}

// hedgeDelay returns the delay after which an attempt is hedged now.
func (s searchRoutes) hedgeDelay(now time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.searches[s.search]
	if state == nil {
		return 0, false
	}
	return state.hedge.Delay(now)
}
