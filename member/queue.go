package member

import (
	"math/bits"
	"slices"
)

// updateQueue holds the names of the members whose updates are to be gossiped.
// Members known to be alive are sent before accused ones, and new updates before
// repeated ones; the repeated ones are sent in rotation.
type updateQueue struct {
	alive   []string
	accused []string
	sent    map[string]int // number of transmissions
}

func newUpdateQueue() updateQueue { return updateQueue{sent: map[string]int{}} }

// putAlive queues an update that refutes accusations against a member or
// reports its new incarnation or that it leaves.
func (q *updateQueue) putAlive(name string) {
	q.remove(name)
	q.alive = slices.Insert(q.alive, 0, name)
	q.sent[name] = 0
}

// putAccused queues an update that accuses a member.
func (q *updateQueue) putAccused(name string) {
	q.remove(name)
	q.accused = slices.Insert(q.accused, 0, name)
	q.sent[name] = 0
}

func (q *updateQueue) remove(name string) {
	if _, ok := q.sent[name]; !ok {
		return
	}
	delete(q.sent, name)
	isName := func(n string) bool { return n == name }
	q.alive = slices.DeleteFunc(q.alive, isName)
	q.accused = slices.DeleteFunc(q.accused, isName)
}

// take returns up to n names that are not in skip, and removes those that have
// now been taken limit times.
func (q *updateQueue) take(n, limit int, skip []string) []string {
	taken := q.takeFrom(&q.alive, n, limit, skip)
	return append(taken, q.takeFrom(&q.accused, n-len(taken), limit, skip)...)
}

func (q *updateQueue) takeFrom(names *[]string, n, limit int, skip []string) []string {
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
		q.remove(name)
		if sent < limit {
			*names = append(*names, name)
			q.sent[name] = sent
		}
	}
	return taken
}

// retransmitLimit returns how often one update is sent among n members.
func retransmitLimit(factor, n int) int { return factor * bits.Len(uint(n)) }
