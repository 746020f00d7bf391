//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

// deployment is a small deployment as of the site qccco-search: six machines in three zones, shards
// with two servers each, and a service with eight servers.
type deployment struct {
	browse, lookup, entry *kind
}

// Requests per second at each machine. Those of all machines together are the site's for sharded
// requests.
const (
	browsePerS = 67.5 / 6
	lookupPerS = 22.5 / 6
	entryPerS  = 20
)

const shards = 8

// settle is the time from the start of the machines to the start of traffic.
const settle = 10 * time.Second

// deploy starts the servers and the machines. warmupPerS is the rate of requests that a cold server
// tolerates.
func (w *world) deploy(warmupPerS float64) (*deployment, error) {
	var names []string
	for i := range shards {
		names = append(names, fmt.Sprintf("desk%d", i+1))
	}
	d := &deployment{
		browse: &kind{name: "category-browse", method: "GET", prefix: "/browse/all/", deadline: 1500 * time.Millisecond, aim: 150 * time.Millisecond, shards: names, topK: 20, least: 0.89},
		lookup: &kind{name: "dispute-lookup", method: "GET", prefix: "/lookup/", deadline: 600 * time.Millisecond, aim: 60 * time.Millisecond, shards: names, topK: 5, least: 0.75},
		entry:  &kind{name: "my-entry", method: "GET", prefix: "/entry/", deadline: 6 * time.Second, aim: 600 * time.Millisecond},
	}
	for _, name := range names {
		w.sharded[name] = true
		for _, zone := range []string{"bne", "tsv"} {
			l, err := newLeaf(w, name, zone, fmt.Sprintf("i-%s-%s", name, zone), 2)
			if err != nil {
				return nil, err
			}
			l.work["/browse/"], l.work["/lookup/"] = 10*time.Millisecond, 4*time.Millisecond
		}
	}
	for i, zone := range []string{"bne", "bne", "tsv", "tsv", "too", "too", "bne", "tsv"} {
		l, err := newLeaf(w, "portal", zone, fmt.Sprintf("i-portal-%d", i+1), 3)
		if err != nil {
			return nil, err
		}
		l.work[""] = 100 * time.Millisecond
	}
	if !w.store.put("op/config", config(7, warmupPerS, route(d.browse, "", 2, 1), route(d.lookup, "", 2, 2), route(d.entry, "portal", 2, 2))) {
		return nil, fmt.Errorf("configuration not written")
	}
	var wg sync.WaitGroup
	for _, l := range w.leafs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := l.start(0); err != nil {
				w.note("%v", err)
			}
		}()
	}
	wg.Wait()
	if err := w.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(settle)
	return d, nil
}

// traffic sends the usual requests to all machines until end is called. The first machines get the
// given rates of requests for single entries.
func (w *world) traffic(d *deployment, entryRates ...float64) (end func()) {
	clients := w.clients()
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for m := range w.machines {
		w.load(&wg, clients, m, d.browse, browsePerS, stop)
		w.load(&wg, clients, m, d.lookup, lookupPerS, stop)
		rate := float64(entryPerS)
		if m < len(entryRates) {
			rate = entryRates[m]
		}
		w.load(&wg, clients, m, d.entry, rate, stop)
	}
	return func() {
		close(stop)
		wg.Wait()
	}
}

// leaf returns a server.
func (w *world) leaf(id string) *leaf {
	for _, l := range w.leafs {
		if l.id == id {
			return l
		}
	}
	panic("no server " + id)
}

// cut takes a machine's paths to all servers out of use, or opens them.
func (w *world) cut(machine int, mode pathMode) {
	var wg sync.WaitGroup
	for _, l := range w.leafs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if mode != pathOpen {
				l.paths[machine].shut(mode)
			} else if err := l.paths[machine].open(); err != nil {
				w.note("path not opened: %v", err)
			}
		}()
	}
	wg.Wait()
}
