package member

import (
	"cmp"
	"math/bits"
	"slices"
)

// queue holds the names of the members about which this process has news to
// spread, and how often it did.
type queue struct {
	sent map[string]int
}

func newQueue() queue { return queue{sent: map[string]int{}} }

// put starts to spread the news about a member anew.
func (q *queue) put(name string) { q.sent[name] = 0 }

func (q *queue) drop(name string) { delete(q.sent, name) }

// take returns up to n names that were sent least often and aren't skipped,
// and drops those that were sent limit times.
func (q *queue) take(n, limit int, skip []string) []string {
	names := make([]string, 0, len(q.sent))
	for name := range q.sent {
		if !slices.Contains(skip, name) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(q.sent[a], q.sent[b]), cmp.Compare(a, b))
	})
	names = names[:max(0, min(n, len(names)))]
	for _, name := range names {
		q.sent[name]++
		if q.sent[name] >= limit {
			q.drop(name)
		}
	}
	return names
}

// spreadLimit returns how often one update is sent among n members.
func spreadLimit(spread, n int) int { return spread * bits.Len(uint(n)) }
