//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["storm"] = playStorm }

// growths is how often the configuration grows by bigConfig routes before the storm.
const growths = 4

func playStorm(rec *record, trouble bool) int {
	f, err := newFleet(rec, 6, []string{"sk-west-a", "sk-west-b", "sk-west-c"}, nil)
	if err != nil {
		return failed(rec, err)
	}
	defer f.close()
	rs := &runs{}
	for i, service := range []string{"gowu98c", "nylo40d", "gowu98c", "nylo40d"} {
		l, err := newLeaf(f, rs, fmt.Sprintf("%s.%d", f.host, 100+i), fmt.Sprintf("i-%d", i), service, "sk-west-a", 20*time.Millisecond)
		if err != nil {
			return failed(rec, err)
		}
		f.store.put(l.key(), l.entry("ready"))
	}
	f.store.put("op/config", f.grownConfig("gowu98c", 0))
	if err := f.startAll(); err != nil {
		return failed(rec, err)
	}
	time.Sleep(6 * time.Second)
	for n := range growths {
		f.store.put("op/config", f.grownConfig("gowu98c", (n+1)*bigConfig))
		rec.say("the configuration has grown by %d routes, version %d, %d bytes", bigConfig, f.version, len(f.store.items["op/config"].Value))
		time.Sleep(2 * time.Second)
	}
	var storm [][]byte
	if trouble {
		for range int(stormLength / stormGap) {
			raw, err := json.Marshal(f.grownConfig("gowu98c", growths*bigConfig))
			if err != nil {
				return failed(rec, err)
			}
			storm = append(storm, raw)
		}
	}
	gap := time.NewTicker(stormGap)
	defer gap.Stop()
	for _, raw := range storm {
		<-gap.C
		f.store.put("op/config", raw)
	}
	rec.say("the storm had %d changes", len(storm))
	ackedAt := f.store.put("op/config", f.grownConfig("nylo40d", growths*bigConfig))
	rec.say("version %d moves the route from gowu98c to nylo40d", f.version)
	time.Sleep(time.Until(ackedAt.Add(configApply)) + 200*time.Millisecond)
	rec.say("version %d is due everywhere", f.version)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var replies []reply
	for _, m := range f.machines {
		wg.Go(func() {
			c := f.client()
			for i := range 60 {
				r := c.send(m, fmt.Sprintf("%s-%d", m.name, i), http.MethodGet, routeHost, "/timi402/2f", nil, 2*time.Second)
				mu.Lock()
				replies = append(replies, r)
				mu.Unlock()
				time.Sleep(250 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	byID, old := rs.byID(), map[string]int{}
	for _, r := range replies {
		for _, x := range byID[r.id] {
			if x.service == "gowu98c" {
				old[r.machine]++
				rec.add("broken: %s, sent %.1f s after the acknowledgement, was run by the old service", r.id, r.at.Sub(ackedAt).Seconds())
			}
		}
	}
	for _, m := range f.machines {
		rec.say("%s: version %d, %d requests run by the old service", m.name, m.version(), old[m.name])
	}
	if len(old) > 0 {
		return broken
	}
	return held
}
