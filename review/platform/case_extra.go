//go:build review

package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["extra"] = playExtra }

// rawLeaf serves connections by itself. After every nth complete answer, if n is not zero, it
// sends additional bytes some time later: a second answer, broken off.
type rawLeaf struct {
	*leaf
	every int
	after time.Duration
	bytes string
	mu    sync.Mutex
	count int
}

func newRawLeaf(f *fleet, rs *runs, ip, id, service, zone string, work time.Duration) (*rawLeaf, error) {
	l := &rawLeaf{leaf: &leaf{id: id, service: service, zone: zone, work: work, runs: rs, rec: f.rec, born: time.Now().UnixMilli(), server: &http.Server{}}}
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	l.address = ln.Addr().String()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go l.serveConn(c)
		}
	}()
	f.store.put(l.key(), l.entry("ready"))
	return l, nil
}

func (l *rawLeaf) serveConn(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	var wmu sync.Mutex
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		sent, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Goldcrestmux-Request-Id")
		if to := r.Header.Get("X-Goldcrestmux-Target-Instance"); to != "" && to != l.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Goldcrestmux-Request-Id: %s\r\nX-Goldcrestmux-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		l.ran(r)
		time.Sleep(l.work)
		body := fmt.Sprintf("%s %s %s %s %x", l.id, r.Method, r.RequestURI, id, sha256.Sum256(sent))
		var out bytes.Buffer
		fmt.Fprintf(&out, "HTTP/1.1 200 OK\r\nX-Goldcrestmux-Request-Id: %s\r\nX-Goldcrestmux-Response-Seal: %s\r\nKeep-Alive: timeout=30\r\nContent-Length: %d\r\n\r\n%s", id, l.seal(id, "200"), len(body), body)
		wmu.Lock()
		_, err = c.Write(out.Bytes())
		wmu.Unlock()
		if err != nil {
			return
		}
		l.mu.Lock()
		l.count++
		extra := l.every > 0 && l.count%l.every == 0
		l.mu.Unlock()
		if extra {
			go func() {
				time.Sleep(l.after)
				wmu.Lock()
				defer wmu.Unlock()
				_, _ = c.Write([]byte(l.bytes))
				l.rec.add("additional bytes of %s: %q", l.id, l.bytes)
			}()
		}
	}
}

func playExtra(rec *record, trouble bool) int {
	f, err := newFleet(rec, 3, []string{"a", "b", "c"}, nil)
	if err != nil {
		return failed(rec, err)
	}
	defer f.close()
	rs := &runs{}
	for i := range 4 {
		l, err := newRawLeaf(f, rs, fmt.Sprintf("%s.%d", f.host, 100+i), fmt.Sprintf("i-%d", i), "gowu98c", f.machines[i%3].zone, 60*time.Millisecond)
		if err != nil {
			return failed(rec, err)
		}
		if i == 0 && trouble {
			l.every, l.after = 25, 30*time.Millisecond
			l.bytes = "HTTP/1.1 503 Service Unavailable\r\nX-Goldcrestmux-Not-Executed: 1\r\nRetry-After: 0."
		}
	}
	f.store.put("op/config", map[string]any{
		"version": 3, "services": []map[string]any{{"name": "gowu98c", "max_connections": 45, "health_check_path": "/healthz", "warmup_per_s": 0}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"routes": []map[string]any{{"name": "r-timi402", "host": routeHost, "prefix": "/timi402/", "route_type": "non_idempotent", "timeout_ms": 6000, "target_latency_ms": 400, "priority": 2, "service": "gowu98c", "max_attempts": 2}},
	})
	if err := f.startAll(); err != nil {
		return failed(rec, err)
	}
	time.Sleep(7 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var replies []reply
	end := time.Now().Add(20 * time.Second)
	for _, m := range f.machines {
		for k := range 6 {
			wg.Go(func() {
				c := f.client()
				for i := 0; time.Now().Before(end); i++ {
					id := fmt.Sprintf("%s.%d.%d", m.name, k, i)
					r := c.send(m, id, http.MethodPost, routeHost, "/timi402/2f", []byte("body "+id), 6*time.Second)
					mu.Lock()
					replies = append(replies, r)
					mu.Unlock()
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	wg.Wait()
	time.Sleep(time.Second)
	byID := rs.byID()
	twice, refused := 0, 0
	tally := map[int]int{}
	for _, r := range replies {
		tally[r.status]++
		if len(byID[r.id]) > 1 {
			twice++
			rec.add("twice: %s ran at %s and %s, answered %d", r.id, byID[r.id][0].leaf, byID[r.id][1].leaf, r.status)
		}
		if (r.status == 503 || r.status == 429) && len(byID[r.id]) > 0 {
			refused++
		}
	}
	rec.say("%d requests %v; %d ran twice, %d were refused and ran", len(replies), tally, twice, refused)
	if twice+refused > 0 {
		return broken
	}
	return held
}
