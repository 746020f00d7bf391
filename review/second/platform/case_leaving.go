//go:build review

package main

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

func init() { cases["leaving-by-detour"] = aCase(leavingByDetour) }

// drain is drain_ms of the settings.
const drain = 3 * time.Second

// lateToLeaving returns the requests that reached a leaving server from a machine that had passed on
// an answer with Server-Leaving more than drain_ms before the client sent them. w.mu must be held.
func (w *world) lateToLeaving() (broken []string) {
	sent := map[string]*request{}
	// passed holds when a machine first passed on such an answer. The seal names the server.
	passed := map[string]time.Time{}
	for _, r := range w.requests {
		sent[r.id] = r
		if !r.leaving || r.seal == "" {
			continue
		}
		leaf, _, _ := strings.Cut(r.seal, ".")
		key := fmt.Sprintf("%s %s", w.machines[r.machine].name, leaf)
		if first, ok := passed[key]; !ok || r.ended.Before(first) {
			passed[key] = r.ended
		}
	}
	for key, at := range passed {
		w.notes = append(w.notes, fmt.Sprintf("machine and server %s: answer with Server-Leaving passed on at %.3f", key, at.Sub(w.started).Seconds()))
	}
	sort.Strings(w.notes[len(w.notes)-len(passed):])
	for _, a := range w.arrivals {
		r := sent[a.id]
		at, ok := passed[fmt.Sprintf("%s %s", w.machines[a.machine].name, a.leaf)]
		if r == nil || !ok || r.sent.Sub(at) <= drain {
			continue
		}
		broken = append(broken, fmt.Sprintf("DRAIN: request %s, sent at %.3f, reached leaving %s at %.3f from %s, which had passed on an answer with Server-Leaving %.3f s before it was sent",
			a.id, r.sent.Sub(w.started).Seconds(), a.leaf, a.at.Sub(w.started).Seconds(), w.machines[a.machine].name, r.sent.Sub(at).Seconds()))
	}
	return broken
}

// leavingByDetour does twice what leaveMeanwhile does, with other servers.
func leavingByDetour(w *world) ([]string, error) {
	d, err := w.deploy(0)
	if err != nil {
		return nil, err
	}
	end := w.traffic(d, 2*entryPerS) // the shares of the machines are uneven
	time.Sleep(4 * time.Second)
	w.leaveMeanwhile("i-portal-1", "i-portal-3", "i-portal-5")
	for _, id := range []string{"i-portal-1", "i-portal-3", "i-portal-5"} {
		l := w.leaf(id)
		l.crash()
		w.store.apply(storeItem{Key: "servers/" + id, Deleted: true})
		l.mu.Lock()
		l.id += "-new"
		l.mu.Unlock()
		if err := l.start(coldTime); err != nil {
			return nil, err
		}
		w.note("%s has ended, %s takes its place", id, l.id)
	}
	time.Sleep(6 * time.Second)
	w.leaveMeanwhile("i-portal-2", "i-portal-4", "i-portal-6")
	end()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lateToLeaving(), nil
}

// leaveMeanwhile partitions a machine from all servers. While its requests take a detour and the store
// gives no answers, some servers begin to leave; then the machine reaches the servers again.
func (w *world) leaveMeanwhile(ids ...string) {
	if w.trouble {
		w.cut(0, pathHang)
		w.note("%s is partitioned from all servers", w.machines[0].name)
		time.Sleep(1500 * time.Millisecond)
		w.store.setSilent(true)
		w.note("the store gives no answers")
	}
	for _, id := range ids {
		l := w.leaf(id)
		l.mu.Lock()
		l.draining, l.leaving = true, true
		l.mu.Unlock()
		w.note("%s leaves", id)
		go func() {
			for !l.beat() {
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	time.Sleep(3350 * time.Millisecond)
	if w.trouble {
		w.cut(0, pathOpen)
		w.note("%s reaches the servers again", w.machines[0].name)
		time.Sleep(1050 * time.Millisecond)
		w.store.setSilent(false)
		w.note("the store answers again")
	}
	time.Sleep(5 * time.Second)
}
