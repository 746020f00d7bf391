//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["cut"] = playCut }

const (
	cutFor = 10 * time.Second
	// company is what the callers' programs send in a header of their own, in ISO 8859-2.
	company = "Hrabovsk\xfd"
)

// playCut partitions the machines of a zone from all leafs.
func playCut(rec *record, trouble bool) int {
	proxies := map[int]map[string]*proxy{} // by machine and leaf
	var pmu sync.Mutex
	view := func(f *fleet, machine int, key string, value []byte) []byte {
		if !strings.HasPrefix(key, "servers/") {
			return value
		}
		pmu.Lock()
		defer pmu.Unlock()
		p := proxies[machine][strings.TrimPrefix(key, "servers/")]
		if p == nil {
			return value
		}
		var e map[string]any
		if json.Unmarshal(value, &e) != nil {
			return value
		}
		e["address"] = p.address
		out, _ := json.Marshal(e)
		return out
	}
	zones := []string{"a", "b", "c"}
	f, err := newFleet(rec, 6, zones, view)
	if err != nil {
		return failed(rec, err)
	}
	defer f.close()
	rs := &runs{}
	shards := []string{}
	n := 0
	add := func(id, service, zone string, work time.Duration, records []byte) error {
		n++
		l, err := newLeaf(f, rs, fmt.Sprintf("%s.%d", f.host, 100+n), id, service, zone, work)
		if err != nil {
			return err
		}
		l.records = records
		for _, m := range f.machines {
			p, err := newProxy(m.ip, l.address)
			if err != nil {
				return err
			}
			if proxies[m.number] == nil {
				proxies[m.number] = map[string]*proxy{}
			}
			proxies[m.number][id] = p
		}
		f.store.put(l.key(), l.entry("ready"))
		return nil
	}
	for i := range 8 {
		name := fmt.Sprintf("sh%d", i)
		shards = append(shards, name)
		rec := bytes.Repeat([]byte{byte('a' + i)}, 64)
		for j, z := range zones[:2] {
			if err := add(fmt.Sprintf("i-%s-%d", name, j), name, z, 8*time.Millisecond, rec); err != nil {
				return failed(f.rec, err)
			}
		}
	}
	for i, z := range zones {
		for _, s := range []string{"one", "once"} {
			if err := add(fmt.Sprintf("i-%s-%d", s, i), s, z, 30*time.Millisecond, nil); err != nil {
				return failed(f.rec, err)
			}
		}
	}
	services := []map[string]any{}
	for _, s := range append([]string{"one", "once"}, shards...) {
		services = append(services, map[string]any{"name": s, "max_connections": 40, "health_check_path": "/healthz", "warmup_per_s": 0})
	}
	f.store.put("op/config", map[string]any{
		"version": 3, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"routes": []map[string]any{
			{"name": "all", "host": "h.example", "prefix": "/all/", "route_type": "idempotent", "timeout_ms": 1500, "target_latency_ms": 100, "priority": 1, "fanout_services": shards, "max_attempts": 2, "top_k": 10, "min_shard_share": 0.89},
			{"name": "one", "host": "h.example", "prefix": "/one/", "route_type": "idempotent", "timeout_ms": 6000, "target_latency_ms": 400, "priority": 2, "service": "one", "max_attempts": 2},
			{"name": "once", "host": "h.example", "prefix": "/once/", "route_type": "non_idempotent", "timeout_ms": 6000, "target_latency_ms": 400, "priority": 2, "service": "once", "max_attempts": 2},
		},
	})
	if err := f.startAll(); err != nil {
		return failed(rec, err)
	}
	time.Sleep(8 * time.Second)
	stop := make(chan struct{})
	var wg, cutting sync.WaitGroup
	var mu sync.Mutex
	var replies []reply
	for _, m := range f.machines {
		for k := range 4 {
			wg.Go(func() {
				c := f.client()
				rng := rand.New(rand.NewPCG(uint64(m.number), uint64(k)))
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					case <-time.After(time.Duration(100+rng.IntN(200)) * time.Millisecond):
					}
					kind := []string{"all", "all", "all", "one", "once"}[rng.IntN(5)]
					id, wait, method := fmt.Sprintf("%s.%d.%d", m.name, k, i), 1500*time.Millisecond, http.MethodGet
					var body []byte
					if kind != "all" {
						wait = 6 * time.Second
					}
					if kind == "once" {
						method, body = http.MethodPost, []byte("body of "+id)
					}
					r := c.send(m, id, method, "h.example", "/"+kind+"/x"+id, body, wait, "X-Company", company)
					mu.Lock()
					replies = append(replies, r)
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(6 * time.Second)
	cutAt := time.Now()
	cutOff := map[string]bool{}
	set := func(state cut) {
		for _, m := range f.machines {
			if m.zone != zones[0] {
				continue
			}
			cutOff[m.name] = true
			for _, p := range proxies[m.number] {
				cutting.Go(func() { p.set(state) })
			}
			rec.say("%s to all leafs: %s", m.name, cutNames[state])
		}
		cutting.Wait()
	}
	if trouble {
		set(resets)
	} else {
		set(open)
	}
	time.Sleep(cutFor)
	healAt := time.Now()
	set(open)
	time.Sleep(5 * time.Second)
	close(stop)
	wg.Wait()
	var tries, served [2]int // at the others, at those that are cut off
	for _, r := range replies {
		if r.at.Before(cutAt.Add(contact)) || r.at.After(healAt.Add(-time.Second)) {
			continue
		}
		i := 0
		if cutOff[r.machine] {
			i = 1
		}
		tries[i]++
		if r.status == http.StatusOK {
			served[i]++
		}
	}
	rec.say("from contact_ms after the cut: the others served %d of %d, those that were cut off %d of %d", served[0], tries[0], served[1], tries[1])
	failed := tries[1] - served[1]
	less := float64(served[1])*float64(tries[0]) < 2.0/3*float64(served[0])*float64(tries[1])
	if less && float64(failed) > 10+float64(tries[1])/50 {
		return broken
	}
	return held
}
