//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    int    `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's store. It listens on one address for each machine: the
// address of a server in an entry is that of the machine's own path to the server.
type store struct {
	mu       sync.Mutex
	items    map[string]storeItem
	events   []storeItem
	revision uint64
	silent   bool
	changed  chan struct{}
	servers  []*http.Server
	addrs    []string
}

func newStore(machines int) (*store, error) {
	s := &store{items: map[string]storeItem{}, revision: 100, changed: make(chan struct{})}
	for m := range machines {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.250.%d:0", network, m+1))
		if err != nil {
			return nil, err
		}
		mux := http.NewServeMux()
		mux.HandleFunc("GET /kv-range", func(w http.ResponseWriter, r *http.Request) { s.list(w, r, m) })
		mux.HandleFunc("GET /kv-watch", func(w http.ResponseWriter, r *http.Request) { s.watch(w, r, m) })
		server := &http.Server{Handler: mux}
		go server.Serve(l)
		s.servers, s.addrs = append(s.servers, server), append(s.addrs, l.Addr().String())
	}
	return s, nil
}

func (s *store) close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// put writes a value, which may be bytes. It fails while the store is silent.
func (s *store) put(key string, value any) bool {
	raw, ok := value.([]byte)
	if !ok {
		raw, _ = json.Marshal(value)
	}
	return s.apply(storeItem{Key: key, Value: raw})
}

func (s *store) apply(it storeItem) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent {
		return false
	}
	s.revision++
	it.Revision, it.Created = s.revision, s.revision
	if it.Deleted {
		delete(s.items, it.Key)
	} else {
		s.items[it.Key] = it
	}
	s.events = append(s.events, it)
	s.wake()
	return true
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// setSilent makes the store give no answers, or ends that. Waiting watches hang.
func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	s.wake()
}

func (s *store) hang(r *http.Request) bool {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
	}
	return silent
}

// forMachine returns an item with the address of the machine's own path.
func forMachine(it storeItem, machine int) storeItem {
	if !strings.HasPrefix(it.Key, "servers/") || len(it.Value) == 0 {
		return it
	}
	var v map[string]any
	if json.Unmarshal(it.Value, &v) != nil {
		return it
	}
	if paths, ok := v["paths"].([]any); ok {
		v["address"] = paths[machine]
		delete(v, "paths")
		it.Value, _ = json.Marshal(v)
	}
	return it
}

func (s *store) list(w http.ResponseWriter, r *http.Request, machine int) {
	if s.hang(r) {
		return
	}
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	const pageItems = 500
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageItems
	items := []storeItem{}
	for _, key := range keys[:min(len(keys), pageItems)] {
		items = append(items, forMachine(s.items[key], machine))
	}
	revision := s.revision
	s.mu.Unlock()
	respond(w, map[string]any{"items": items, "has_more": more, "store_revision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, machine int) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	for {
		if s.hang(r) {
			return
		}
		events := []storeItem{}
		s.mu.Lock()
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, forMachine(e, machine))
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			respond(w, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			if !s.hang(r) {
				respond(w, map[string]any{"events": events, "store_revision": revision})
			}
			return
		case <-r.Context().Done():
			return
		}
	}
}

// answerTime is how long an answer of the store takes.
const answerTime = 4 * time.Millisecond

func respond(w http.ResponseWriter, v any) {
	time.Sleep(answerTime)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
