//go:build review

package main

import (
	"fmt"
	"sort"
	"time"
)

func init() {
	cases["cold-restart"] = aCase(coldRestart)
	cases["cold-again"] = aCase(coldAgain)
}

const (
	// warmupPerS is the rate that a cold server of the cases tolerates, and coldTime how long it is cold.
	warmupPerS = 2.0
	coldTime   = 3 * time.Second
	// coldBound is the bound of the rule: warmup_per_s x warmup_overshoot + warmup_slack.
	coldBound = warmupPerS*1.5 + 5
)

// failback returns the cold servers that got more requests in some second than the rule allows. w.mu
// must be held.
func (w *world) failback() (broken []string) {
	sentAt := map[string]time.Time{}
	for _, r := range w.requests {
		sentAt[r.id] = r.sent
	}
	byRun := map[string][]*arrival{}
	for _, a := range w.arrivals {
		if a.cold {
			run := a.leaf + " born " + a.born
			byRun[run] = append(byRun[run], a)
		}
	}
	for run, as := range byRun {
		most, at := 0, time.Time{}
		for _, first := range as {
			from, n := sentAt[first.id], 0
			for _, a := range as { // sent by the client, and arrived, inside the second from then on
				if !sentAt[a.id].Before(from) && a.at.Sub(from) < time.Second {
					n++
				}
			}
			if n > most {
				most, at = n, from
			}
		}
		text := fmt.Sprintf("cold %s got %d requests in the second from %.3f, allowed are %.0f", run, most, at.Sub(w.started).Seconds(), coldBound)
		if float64(most) > coldBound {
			broken = append(broken, "FAILBACK: "+text)
		} else {
			w.notes = append(w.notes, text)
		}
	}
	sort.Strings(broken)
	return broken
}

// coldRestart lets all servers of one shard crash. They come back under the IDs that they had, cold.
func coldRestart(w *world) ([]string, error) {
	d, err := w.deploy(warmupPerS)
	if err != nil {
		return nil, err
	}
	end := w.traffic(d)
	time.Sleep(6 * time.Second)
	if w.trouble {
		servers := []*leaf{w.leaf("i-desk1-bne"), w.leaf("i-desk1-tsv")}
		for _, l := range servers {
			l.crash()
		}
		w.note("all servers of desk1 crash")
		time.Sleep(2 * time.Second)
		for _, l := range servers {
			go func() {
				if err := l.start(coldTime); err != nil {
					w.note("%v", err)
				}
			}()
		}
		w.note("they are back, under the IDs that they had, and cold for %v", coldTime)
	}
	time.Sleep(6 * time.Second)
	end()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failback(), nil
}

// coldAgain lets a server become cold again while the store gives no answers. The server tells it in
// the answers to health checks.
func coldAgain(w *world) ([]string, error) {
	d, err := w.deploy(warmupPerS)
	if err != nil {
		return nil, err
	}
	end := w.traffic(d)
	time.Sleep(6 * time.Second)
	if w.trouble {
		w.store.setSilent(true)
		w.note("the store gives no answers")
		time.Sleep(500 * time.Millisecond)
		l := w.leaf("i-desk1-bne")
		l.mu.Lock()
		l.coldFor = time.Now().Add(coldTime)
		l.mu.Unlock()
		w.note("%s is cold again for %v", l.id, coldTime)
		time.Sleep(3800 * time.Millisecond)
		w.store.setSilent(false)
		w.note("the store answers again")
	}
	time.Sleep(5 * time.Second)
	end()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failback(), nil
}
