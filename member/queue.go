package member

import (
	"math/bits"
	"slices"
)

// queue holds the names of the members about which this process has news to
// spread. Signs of life go before accusations, and fresh news goes first; the
// rest takes turns.
type queue struct {
	life        []string
	accusations []string
	sent        map[string]int
}

func newQueue() queue { return queue{sent: map[string]int{}} }

// putLife starts to spread a sign of life of a member.
func (q *queue) putLife(name string) {
	q.drop(name)
	q.life = slices.Insert(q.life, 0, name)
	q.sent[name] = 0
}

// putAccusation starts to spread an accusation against a member.
func (q *queue) putAccusation(name string) {
	q.drop(name)
	q.accusations = slices.Insert(q.accusations, 0, name)
	q.sent[name] = 0
}

func (q *queue) drop(name string) {
	if _, ok := q.sent[name]; !ok {
		return
	}
	delete(q.sent, name)
	isName := func(n string) bool { return n == name }
	q.life = slices.DeleteFunc(q.life, isName)
	q.accusations = slices.DeleteFunc(q.accusations, isName)
}

// take returns up to n names that aren't skipped, and drops those that were
// now taken limit times.
func (q *queue) take(n, limit int, skip []string) []string {
	taken := q.takeFrom(&q.life, n, limit, skip)
	return append(taken, q.takeFrom(&q.accusations, n-len(taken), limit, skip)...)
}

func (q *queue) takeFrom(names *[]string, n, limit int, skip []string) []string {
	var taken []string
	for _, name := range *names {
		if len(taken) >= n {
			break
		}
		if !slices.Contains(skip, name) {
			taken = append(taken, name)
		}
	}
	for _, name := range taken {
		sent := q.sent[name] + 1
		q.drop(name)
		if sent < limit {
			*names = append(*names, name)
			q.sent[name] = sent
		}
	}
	return taken
}

// spreadLimit returns how often one update is sent among n members.
func spreadLimit(spread, n int) int { return spread * bits.Len(uint(n)) }
