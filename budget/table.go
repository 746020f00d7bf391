package budget

import "time"

// Options sets up a Table.
type Options struct {
	// Floor is the number of extras per window that a search and a target are
	// granted whatever the number of first attempts. Zero grants none, which
	// keeps the bound at the share alone.
	Floor uint32
}

// Table holds the windows of a gateway by search and by target. An extra
// attempt needs both. It is not locked; the caller serialises.
type Table struct {
	opts     Options
	searches map[string]*Window
	targets  map[string]*Window
	stats    Stats
}

// Stats counts what a Table has granted and denied since its creation.
type Stats struct {
	Firsts         uint64
	Extras         uint64
	DeniedBySearch uint64
	DeniedByTarget uint64
}

// NewTable returns an empty table. Searches have the share MaxShare until
// SetShare lowers it; targets always have MaxShare.
func NewTable(opts Options) *Table {
	return &Table{opts: opts, searches: map[string]*Window{}, targets: map[string]*Window{}}
}

// SetFraction sets the share of a search, as folder.Search.HedgeShare gives it.
func (t *Table) SetFraction(search string, share float64) {
	t.window(t.searches, search).SetFraction(share)
}

// AddFirst counts a first attempt of the search at the target. An attempt that
// replaces one of which no byte reached a target counts as a first one too. An
// empty target leaves the budgets of targets to others.
func (t *Table) AddFirst(now time.Time, search, target string) {
	t.window(t.searches, search).AddFirst(now)
	if target != "" {
		t.window(t.targets, target).AddFirst(now)
	}
	t.stats.Firsts++
}

// TryExtra counts an extra attempt of the search at the target and returns
// true, or returns false and counts nothing if either budget is used up. An
// empty target needs the search's budget only.
func (t *Table) TryExtra(now time.Time, search, target string) bool {
	bySearch := t.window(t.searches, search)
	if !bySearch.AllowsExtra(now) {
		t.stats.DeniedBySearch++
		return false
	}
	if target != "" && !t.window(t.targets, target).TryExtra(now) {
		t.stats.DeniedByTarget++
		return false
	}
	bySearch.TryExtra(now)
	t.stats.Extras++
	return true
}

// AllowsSearch tells whether the search has budget left, whichever the target.
func (t *Table) AllowsSearch(now time.Time, search string) bool {
	return t.window(t.searches, search).AllowsExtra(now)
}

// ForgetTarget drops the window of a target that is no longer in the contracts.
func (t *Table) ForgetTarget(target string) { delete(t.targets, target) }

// ForgetSearch drops the window of a search that is no longer in the contracts.
func (t *Table) ForgetSearch(search string) { delete(t.searches, search) }

// Stats returns the counters.
func (t *Table) Stats() Stats { return t.stats }

func (t *Table) window(by map[string]*Window, name string) *Window {
	w, ok := by[name]
	if !ok {
		w = NewWindow(MaxFraction, t.opts.Floor)
		by[name] = w
	}
	return w
}
