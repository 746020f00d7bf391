//go:build review

package main

import (
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

func init() { cases["pause-forgotten"] = aCase(pauseForgotten) }

// refusal is an answer 503 with Retry-After of a server to a machine.
type refusal struct {
	leaf    string
	machine int
	at      time.Time
	pause   time.Duration
}

// inPauses returns the machines of which more than two requests reached a server between half a second
// after it had answered the machine 503 with Retry-After and the end of that time. w.mu must be held.
func (w *world) inPauses(refusals []refusal) (broken []string) {
	type pair struct {
		leaf    string
		machine int
	}
	byPair := map[pair][]refusal{}
	for _, r := range refusals {
		p := pair{r.leaf, r.machine}
		byPair[p] = append(byPair[p], r)
	}
	for p, rs := range byPair {
		n, last := 0, time.Time{}
		var told refusal
		for _, r := range rs { // each answer by itself
			k, at := 0, time.Time{}
			for _, a := range w.arrivals {
				if a.leaf != p.leaf || a.machine != p.machine {
					continue
				}
				if d := a.at.Sub(r.at); d > 500*time.Millisecond && d < r.pause {
					k, at = k+1, a.at
				}
			}
			if k > n {
				n, last, told = k, at, r
			}
		}
		if n > 2 {
			broken = append(broken, fmt.Sprintf("BUDGET: %d requests reached %s from %s between half a second after it had answered 503 with Retry-After %.1f (at %.3f) and the end of that time, the last at %.3f",
				n, p.leaf, w.machines[p.machine].name, told.pause.Seconds(), told.at.Sub(w.started).Seconds(), last.Sub(w.started).Seconds()))
		}
	}
	sort.Strings(broken)
	return broken
}

// pauseForgotten lets the servers of all shards crash. They come back under the IDs that they had, and
// in their first 200 ms they turn requests away with Retry-After.
func pauseForgotten(w *world) ([]string, error) {
	const (
		pause     = 3 * time.Second
		turnsAway = 200 * time.Millisecond
	)
	d, err := w.deploy(0)
	if err != nil {
		return nil, err
	}
	end := w.traffic(d)
	time.Sleep(6 * time.Second)
	var servers []*leaf
	for _, l := range w.leafs {
		if w.sharded[l.service] {
			servers = append(servers, l)
		}
	}
	if w.trouble {
		for _, l := range servers {
			l.crash()
		}
		w.note("the servers of all shards crash")
		time.Sleep(2 * time.Second)
	}
	var mu sync.Mutex
	var refusals []refusal
	for i, l := range servers {
		delay := time.Duration(i*37%len(servers)) * 20 * time.Millisecond // not all at the same instant
		back := time.Now().Add(delay)
		l.mu.Lock()
		l.behave = func(rw http.ResponseWriter, _ *http.Request, a *arrival) bool {
			if now := time.Now(); now.Before(back) || now.Sub(back) > turnsAway {
				return false
			}
			rw.Header().Set("X-Goldcrestmux-Not-Executed", "1")
			rw.Header().Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', 1, 64))
			rw.WriteHeader(http.StatusServiceUnavailable)
			w.mu.Lock()
			a.ran, a.status = false, http.StatusServiceUnavailable
			w.mu.Unlock()
			mu.Lock()
			refusals = append(refusals, refusal{l.id, a.machine, time.Now(), pause})
			mu.Unlock()
			return true
		}
		l.mu.Unlock()
		if w.trouble {
			go func() {
				time.Sleep(delay)
				if err := l.start(coldTime); err != nil {
					w.note("%v", err)
				}
			}()
		}
	}
	w.note("the servers come back, under the IDs that they had, and turn requests away with Retry-After %v for %v", pause, turnsAway)
	time.Sleep(5 * time.Second)
	end()
	mu.Lock()
	defer mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notes = append(w.notes, fmt.Sprintf("%d answers 503 with Retry-After", len(refusals)))
	if len(refusals) == 0 {
		return nil, fmt.Errorf("no server turned a request away")
	}
	return w.inPauses(refusals), nil
}
