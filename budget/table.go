package budget

import "time"

// Options configures a Table.
type Options struct {
	// Floor is the number of extra attempts per window that each search and each
	// target is granted regardless of the number of first attempts. With zero, the
	// fraction alone is the bound.
	Floor uint32
}

// Table holds the windows of a gateway by search and by target. An extra
// attempt must be allowed by both its search's and its target's window. It is not
// safe for concurrent use.
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

// NewTable returns an empty table. Searches have the fraction MaxFraction until
// SetFraction lowers it; targets always have MaxFraction.
func NewTable(opts Options) *Table {
	return &Table{opts: opts, searches: map[string]*Window{}, targets: map[string]*Window{}}
}

// SetFraction sets the fraction of a search.
func (t *Table) SetFraction(search string, fraction float64) {
	t.window(t.searches, search).SetFraction(fraction)
}

// AddFirst counts a first attempt of the search at the target. An attempt that
// replaces one of which no byte reached a target also counts as a first
// attempt. If target is empty, only the search's window counts it.
func (t *Table) AddFirst(now time.Time, search, target string) {
	t.window(t.searches, search).AddFirst(now)
	if target != "" {
		t.window(t.targets, target).AddFirst(now)
	}
	t.stats.Firsts++
}

// TryExtra counts an extra attempt of the search at the target and returns
// true, or returns false and counts nothing if either budget is used up. If
// target is empty, only the search's budget is needed.
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

// AllowsSearch reports whether the search has budget left, regardless of the
// target.
func (t *Table) AllowsSearch(now time.Time, search string) bool {
	return t.window(t.searches, search).AllowsExtra(now)
}

// ForgetTarget drops the window of a target that is no longer configured.
func (t *Table) ForgetTarget(target string) { delete(t.targets, target) }

// ForgetSearch drops the window of a search that is no longer configured.
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
