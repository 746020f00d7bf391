//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["deadly"] = playDeadly }

// deadlyPath is the path of the request that crashes leafs. The text is in UTF-8 and longer than 96
// bytes, as a caller sends it that does not escape it.
const deadlyPath = "/timi402/zložka/registrácia/prílohy/súhrnná-správa-o-štúdii-dlhodobej-toxicity-pre-vodné-živočíchy"

// crash ends the leaf as a crash does. It is back after the given time, under the same id.
func (l *leaf) crash(f *fleet, back time.Duration) {
	l.mu.Lock()
	server, address := l.server, l.address
	l.mu.Unlock()
	l.rec.say("%s of %s crashes", l.id, l.service)
	go func() { _ = server.Close() }()
	time.AfterFunc(back, func() {
		l.mu.Lock()
		l.born, l.sequence = time.Now().UnixMilli(), 0
		l.mu.Unlock()
		for range 50 {
			if err := l.listen(address); err == nil {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		f.store.put(l.key(), l.entry("ready"))
	})
}

// deadlyGap is the time between two times that it comes.
const deadlyGap = 2500 * time.Millisecond

func playDeadly(rec *record, trouble bool) int {
	f, err := newFleet(rec, 6, []string{"sk-west-a", "sk-west-b", "sk-west-c"}, nil)
	if err != nil {
		return failed(rec, err)
	}
	defer f.close()
	rs := &runs{}
	for i := range 6 {
		l, err := newLeaf(f, rs, fmt.Sprintf("%s.%d", f.host, 100+i), fmt.Sprintf("i-%d", i), "gowu98c", f.machines[i].zone, 90*time.Millisecond)
		if err != nil {
			return failed(rec, err)
		}
		l.handle = func(_ http.ResponseWriter, r *http.Request) bool {
			if r.RequestURI != deadlyPath {
				return false
			}
			l.ran(r)
			l.crash(f, 3*time.Second)
			panic(http.ErrAbortHandler)
		}
		f.store.put(l.key(), l.entry("ready"))
	}
	config := f.grownConfig("gowu98c", 0)
	once := map[string]any{
		"name": "r-once", "host": routeHost, "prefix": "/once/", "route_type": "non_idempotent", "timeout_ms": 6000,
		"target_latency_ms": 400, "priority": 2, "service": "gowu98c", "max_attempts": 2,
	}
	config["routes"] = append(config["routes"].([]map[string]any), once)
	f.store.put("op/config", config)
	if err := f.startAll(); err != nil {
		return failed(rec, err)
	}
	time.Sleep(8 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	tally := map[string]int{}
	for _, m := range f.machines {
		for k := range 4 {
			wg.Go(func() {
				c := f.client()
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					case <-time.After(50 * time.Millisecond):
					}
					method, uri, body := http.MethodGet, "/timi402/2f", []byte(nil)
					if k > 0 {
						method, uri, body = http.MethodPost, "/once/2f", []byte("body")
					}
					r := c.send(m, fmt.Sprintf("%s.%d.%d", m.name, k, i), method, routeHost, uri, body, 6*time.Second)
					mu.Lock()
					tally[fmt.Sprintf("%s %d", method, r.status)]++
					mu.Unlock()
				}
			})
		}
	}
	if trouble {
		c := f.client()
		for i := range 18 {
			m := f.machines[i%6]
			id := fmt.Sprintf("deadly-%d", i)
			r := c.send(m, id, http.MethodGet, routeHost, deadlyPath, nil, 6*time.Second)
			rec.say("%s at %s: %d after %v", id, m.name, r.status, r.took.Round(time.Millisecond))
			time.Sleep(deadlyGap)
		}
	} else {
		time.Sleep(18 * deadlyGap)
	}
	close(stop)
	wg.Wait()
	all := []run{}
	for id, x := range rs.byID() {
		if strings.HasPrefix(id, "deadly") {
			all = append(all, x...)
		}
	}
	sortRuns(all)
	late := 0
	for i, x := range all {
		if i > 2 && x.at.Sub(all[2].at) > contact {
			late++
		}
	}
	rec.say("the request crashed %d leafs, %d of them later than contact_ms after the third", len(all), late)
	rec.say("other requests: %v", tally)
	for _, m := range f.machines {
		rec.say("%s knows %d peers", m.name, m.peers())
	}
	if late > 3 {
		return broken
	}
	return held
}
