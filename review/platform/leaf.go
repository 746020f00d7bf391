//go:build review

package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one request that a leaf began to work on.
type run struct {
	id, leaf, service, method, uri, tenant string
	at                                     time.Time
}

// runs holds what all leafs have run.
type runs struct {
	mu  sync.Mutex
	all []run
}

func (r *runs) add(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, x)
}

// byID returns the runs of each request.
func (r *runs) byID() map[string][]run {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string][]run{}
	for _, x := range r.all {
		out[x.id] = append(out[x.id], x)
	}
	return out
}

// leaf is a server of a service. It does what PROTOCOL.md says of a sound one, unless a case
// sets handle.
type leaf struct {
	id, service, zone, address string
	records                    []byte // of a shard; nil for other services
	work                       time.Duration
	runs                       *runs
	rec                        *record
	born                       int64
	// handle, if set, answers instead. It returns false for the usual answer.
	handle func(w http.ResponseWriter, r *http.Request) bool

	mu       sync.Mutex
	server   *http.Server
	sequence int
}

// newLeaf starts a leaf on a free port of ip.
func newLeaf(f *fleet, rs *runs, ip, id, service, zone string, work time.Duration) (*leaf, error) {
	l := &leaf{id: id, service: service, zone: zone, work: work, runs: rs, rec: f.rec, born: time.Now().UnixMilli()}
	if err := l.listen(ip + ":0"); err != nil {
		return nil, err
	}
	f.leafs = append(f.leafs, l)
	return l, nil
}

func (l *leaf) listen(address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(l.serve), IdleTimeout: 30 * time.Second}
	l.mu.Lock()
	l.server, l.address = server, ln.Addr().String()
	l.mu.Unlock()
	go func() { _ = server.Serve(ln) }()
	return nil
}

func (l *leaf) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.server.Close()
}

// entry returns the next entry of the leaf in the store.
func (l *leaf) entry(state string) map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	return map[string]any{
		"service": l.service, "address": l.address, "zone": l.zone, "version": "v1", "max_concurrency": 4, "state": state,
		"warmup_remaining_ms": 0, "sequence": l.sequence, "born": l.born,
	}
}

func (l *leaf) key() string { return "servers/" + l.id }

// seal is the signature of the leaf's answer to a request.
func (l *leaf) seal(id, status string) string {
	h := sha256.Sum256([]byte(l.id + "/" + id + "/" + status))
	return l.id + "." + hex.EncodeToString(h[:4])
}

// body is the leaf's whole body for a request to one leaf.
func (l *leaf) body(r *http.Request, sent []byte) []byte {
	if l.records != nil {
		return l.records
	}
	return fmt.Appendf(nil, "%s %s %s %s %x", l.id, r.Method, r.RequestURI, r.Header.Get("X-Goldcrestmux-Request-Id"), sha256.Sum256(sent))
}

func (l *leaf) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Goldcrestmux-Request-Id")
	h := w.Header()
	h.Set("X-Goldcrestmux-Request-Id", id)
	h.Set("Keep-Alive", "timeout=30")
	if r.URL.Path == "/healthz" {
		h.Set("X-Goldcrestmux-Instance-Id", l.id)
		return
	}
	if to := r.Header.Get("X-Goldcrestmux-Target-Instance"); to != "" && to != l.id {
		h.Set("X-Goldcrestmux-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("X-Goldcrestmux-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if l.handle != nil && l.handle(w, r) {
		return
	}
	sent, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	l.ran(r)
	deadline := 24 * time.Hour
	if ms, err := strconv.ParseFloat(r.Header.Get("X-Goldcrestmux-Deadline-Ms"), 64); err == nil {
		deadline = time.Duration(ms * float64(time.Millisecond))
	}
	status := http.StatusOK
	work := l.work
	if work > deadline {
		work, status = deadline, http.StatusGatewayTimeout
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	body := l.body(r, sent)
	if status != http.StatusOK {
		body = []byte("the deadline has passed")
	}
	h.Set("X-Goldcrestmux-Response-Seal", l.seal(id, strconv.Itoa(status)))
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = io.Copy(w, bytes.NewReader(body))
}

// ran records that the leaf begins to work on a request.
func (l *leaf) ran(r *http.Request) {
	x := run{r.Header.Get("X-Goldcrestmux-Request-Id"), l.id, l.service, r.Method, r.RequestURI, r.Header.Get("X-Goldcrestmux-Tenant"), time.Now()}
	l.runs.add(x)
	l.rec.add("run %s by %s of %s: %s %s", x.id, x.leaf, x.service, x.method, x.uri)
}
