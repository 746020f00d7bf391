//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is an item of a listing, or an event of a watch, as PROTOCOL.md names its fields.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`

	at time.Time
}

// Limits of the store, from PROTOCOL.md and the settings.
const (
	pageItems  = 500
	pageBytes  = 1 << 20
	valueBytes = 1 << 20
	history    = 20 * time.Second
	answerTime = 4 * time.Millisecond
)

// store is the platform's metadata store. It keeps its history for history.
type store struct {
	mu       sync.Mutex
	items    map[string]storeItem
	events   []storeItem
	dropped  uint64 // revision up to which events are no longer kept
	revision uint64
	era      uint64
	changed  chan struct{}
	// down, if set, tells what becomes of a call of a machine: "" (served), "busy", "reset".
	down func(machine int) string
}

func newStore() *store {
	return &store{items: map[string]storeItem{}, revision: 10, changed: make(chan struct{})}
}

// put writes a value and returns when it was acknowledged.
func (s *store) put(key string, value any) time.Time {
	raw, ok := value.([]byte)
	if !ok {
		var err error
		if raw, err = json.Marshal(value); err != nil {
			panic(err)
		}
	}
	if len(raw) > valueBytes {
		panic("value of " + key + " is larger than value_bytes")
	}
	return s.apply(storeItem{Key: key, Value: raw})
}

func (s *store) apply(it storeItem) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it.Revision, it.Created, it.at = s.revision, s.revision, time.Now()
	if before, ok := s.items[it.Key]; ok {
		it.Created = before.Created
	}
	if it.Deleted {
		delete(s.items, it.Key)
	} else {
		s.items[it.Key] = it
	}
	s.events = append(s.events, it)
	s.wake()
	return it.at
}

// wake ends the waiting of all watches. mu must be held.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// forget drops the events that are older than history. mu must be held.
func (s *store) forget(now time.Time) {
	n := 0
	for n < len(s.events) && now.Sub(s.events[n].at) > history {
		s.dropped = s.events[n].Revision
		n++
	}
	s.events = s.events[n:]
}

// handler serves the calls of one machine. view may change a value as the machine sees it.
func (s *store) handler(machine int, view func(key string, value []byte) []byte) http.Handler {
	seen := func(it storeItem) storeItem {
		if view != nil && !it.Deleted {
			it.Value = view(it.Key, it.Value)
		}
		return it
	}
	mux := http.NewServeMux()
	admit := func(w http.ResponseWriter) bool {
		s.mu.Lock()
		down := s.down
		era := s.era
		s.mu.Unlock()
		w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
		if down != nil {
			switch down(machine) {
			case "busy":
				w.WriteHeader(http.StatusServiceUnavailable)
				return false
			case "reset":
				panic(http.ErrAbortHandler)
			}
		}
		time.Sleep(answerTime)
		return true
	}
	mux.HandleFunc("GET /kv-range", func(w http.ResponseWriter, r *http.Request) {
		if !admit(w) {
			return
		}
		prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
		s.mu.Lock()
		var keys []string
		for k := range s.items {
			if strings.HasPrefix(k, prefix) && k > after {
				keys = append(keys, k)
			}
		}
		sort.Strings(keys)
		out, size, more := []storeItem{}, 0, false
		for _, k := range keys {
			if len(out) == pageItems || (len(out) > 0 && size+len(s.items[k].Value) > pageBytes) {
				more = true
				break
			}
			out = append(out, seen(s.items[k]))
			size += len(s.items[k].Value)
		}
		revision := s.revision
		s.mu.Unlock()
		answer(w, map[string]any{"items": out, "has_more": more, "store_revision": revision})
	})
	mux.HandleFunc("GET /kv-watch", func(w http.ResponseWriter, r *http.Request) {
		if !admit(w) {
			return
		}
		prefix := r.URL.Query().Get("prefix")
		after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
		end := time.After(time.Duration(min(ms, 30000)) * time.Millisecond)
		for {
			s.mu.Lock()
			s.forget(time.Now())
			w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
			if after < s.dropped || after > s.revision {
				s.mu.Unlock()
				w.WriteHeader(http.StatusGone)
				return
			}
			out := []storeItem{}
			for _, it := range s.events {
				if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
					out = append(out, seen(it))
				}
			}
			revision, changed, down := s.revision, s.changed, s.down
			s.mu.Unlock()
			if down != nil && down(machine) != "" {
				panic(http.ErrAbortHandler)
			}
			if len(out) > 0 {
				answer(w, map[string]any{"events": out, "store_revision": revision})
				return
			}
			select {
			case <-changed:
			case <-end:
				answer(w, map[string]any{"events": out, "store_revision": revision})
				return
			case <-r.Context().Done():
				return
			}
		}
	})
	return mux
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	_, _ = w.Write(data)
}
