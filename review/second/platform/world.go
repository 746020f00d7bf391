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
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// host is the host of all routes.
const host = "search.example"

// machine is a VM that runs an entry process.
type machine struct {
	name, zone, ip               string
	callers, ready, control, dir string
	cmd                          *exec.Cmd
	exited                       chan struct{}
	stopped                      atomic.Bool // by the case
}

// world is a small deployment.
type world struct {
	dir      string
	store    *store
	machines []*machine
	leafs    []*leaf
	sharded  map[string]bool
	started  time.Time
	trouble  bool

	mu       sync.Mutex
	arrivals []*arrival
	requests []*request
	notes    []string
	seq      int
	ids      int
}

func (w *world) note(format string, args ...any) {
	text := fmt.Sprintf("%8.3f  ", time.Since(w.started).Seconds()) + fmt.Sprintf(format, args...)
	w.mu.Lock()
	w.notes = append(w.notes, text)
	w.mu.Unlock()
	fmt.Println(text)
}

func (w *world) arrived(a *arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	a.seq = w.seq
	w.arrivals = append(w.arrivals, a)
}

func (w *world) ran(a *arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a.ran = true
}

// newWorld makes the machines and the store of a deployment. Zones holds the zone of each machine.
func newWorld(zones []string) (*world, error) {
	dir, err := os.MkdirTemp("", "gcmux-review-")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, sharded: map[string]bool{}, started: time.Now(), trouble: os.Getenv("TROUBLE") != "0"}
	if w.store, err = newStore(len(zones)); err != nil {
		return nil, err
	}
	for i, zone := range zones {
		m := &machine{name: fmt.Sprintf("frontend-%s-%d", zone, i+1), zone: zone, ip: fmt.Sprintf("127.%d.0.%d", network, i+1)}
		addresses, err := freeAddresses(m.ip, 3)
		if err != nil {
			return nil, err
		}
		m.callers, m.ready, m.control = addresses[0], addresses[1], addresses[2]
		m.dir = filepath.Join(dir, m.name)
		if err := os.MkdirAll(m.dir, 0o755); err != nil {
			return nil, err
		}
		w.machines = append(w.machines, m)
	}
	return w, nil
}

// freeAddresses returns addresses of an IP with different free ports.
func freeAddresses(ip string, n int) (addresses []string, err error) {
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

// settings returns the settings file of a machine, with the figures of the small sites.
func (w *world) settings(i int) string {
	m := w.machines[i]
	var seeds []string
	for _, s := range w.machines[:min(3, len(w.machines))] {
		seeds = append(seeds, strconv.Quote(s.control))
	}
	return fmt.Sprintf(`node_name = %q
role = "entry"
machine_class = "frontend"
serves = ["frontend","control_plane"]
ip = %q
zone = %q
region = "qld"
internal_port_range = [7380,7395]
seed_nodes = [%s]
bootstrap = true
loss_counts = false
discovery = "platform"
entry_kind = "vip"
heartbeat_interval_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","places","platform"]
[zones]
bne = "qld"
tsv = "qld"
too = "qld"
[listen_addrs]
frontend_addr = %q
ready = %q
control_plane = %q
[limits]
cpu_share = 0.4
cpu_cores = 1
memory_mb = 284
max_open_files = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
address_reuse_s = 2
contact_ms = 4000
ack_timeout_ms = 5000
catch_up_s = 4
drain_ms = 3000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
rollback_slack_ms = 250
max_skew_ms = 12000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 52
warmup_overshoot = 1.5
warmup_slack = 5
evacuate_ms = 5000
recovery_s = 12
[platform]
address = %q
form = "read"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
`, m.name, m.ip, m.zone, strings.Join(seeds, ","), m.callers, m.ready, m.control, w.store.addrs[i])
}

// startMachine starts the process of a machine with the command of the deploy file.
func (w *world) startMachine(i int) error {
	m := w.machines[i]
	boot := filepath.Join(m.dir, "boot.toml")
	if err := os.WriteFile(boot, []byte(w.settings(i)), 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/gcmux-entry", "-metrics-port", "9180")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "GOLDCRESTMUX_SETTINGS=" + boot}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.cmd, m.exited = cmd, make(chan struct{})
	m.stopped.Store(false)
	exited := m.exited
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		if !m.stopped.Load() {
			w.note("process %s ended by itself: %v", m.name, err)
		}
		close(exited)
	}()
	return nil
}

func (w *world) startAll() error {
	for i := range w.machines {
		if err := w.startMachine(i); err != nil {
			return err
		}
	}
	return w.awaitReady(15 * time.Second)
}

func (w *world) awaitReady(d time.Duration) error {
	until := time.Now().Add(d)
	for _, m := range w.machines {
		for {
			resp, err := http.Get("http://" + m.ready + "/ready")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (w *world) close() {
	for _, m := range w.machines {
		if m.cmd != nil && m.cmd.Process != nil {
			m.stopped.Store(true)
			_ = m.cmd.Process.Kill()
			<-m.exited
		}
	}
	for _, l := range w.leafs {
		l.crash()
	}
	w.store.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept", w.dir)
	}
}

// kind is a kind of request.
type kind struct {
	name, method, prefix string
	deadline, aim        time.Duration
	shards               []string
	topK                 int
	least                float64
}

// request is one attempt of a client.
type request struct {
	id, path    string
	kind        *kind
	machine     int
	sent, ended time.Time
	status      int
	err         error
	wrong       string
	leaving     bool
	first       bool
	left        time.Duration // that the client waits
	retryAfter  time.Duration
	seal        string
}

// client sends requests to one machine over connections that it keeps.
type client struct {
	w       *world
	machine int
	mu      sync.Mutex
	idle    []*clientConn
}

type clientConn struct {
	net.Conn
	r    *bufio.Reader
	used time.Time
}

func (w *world) newID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ids++
	return fmt.Sprintf("%08x%08x", w.ids, os.Getpid())
}

// conn returns an idle connection, or a new one if fresh is true or there is none.
func (c *client) conn(fresh bool) (cc *clientConn, err error) {
	c.mu.Lock()
	for len(c.idle) > 0 && !fresh {
		cc = c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if time.Since(cc.used) < 5*time.Second {
			c.mu.Unlock()
			return cc, nil
		}
		_ = cc.Close()
	}
	c.mu.Unlock()
	d := net.Dialer{Timeout: time.Second}
	nc, err := d.Dial("tcp", c.w.machines[c.machine].callers)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: nc, r: bufio.NewReader(nc)}, nil
}

// do sends one attempt and checks the answer.
func (c *client) do(k *kind, path string, first bool, left time.Duration) *request {
	r := &request{id: c.w.newID(), path: path, kind: k, machine: c.machine, first: first, left: left}
	c.w.mu.Lock()
	c.w.requests = append(c.w.requests, r)
	c.w.mu.Unlock()
	r.sent = time.Now()
	status, header, body, err := c.exchange(r)
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	r.ended, r.status, r.err = time.Now(), status, err
	if err == nil {
		r.leaving = header.Get("Server-Leaving") != ""
		r.seal = header.Get("X-Goldcrestmux-Response-Seal")
		if s, err := strconv.ParseFloat(header.Get("Retry-After"), 64); err == nil {
			r.retryAfter = time.Duration(s * float64(time.Second))
		}
		if status >= 200 && status < 300 {
			r.wrong = c.w.check(r, header, body)
		}
	}
	return r
}

func (c *client) exchange(r *request) (int, http.Header, []byte, error) {
	cc, err := c.conn(!r.first)
	if err != nil {
		return 0, nil, nil, err
	}
	_ = cc.SetDeadline(time.Now().Add(r.left + 50*time.Millisecond))
	var buf bytes.Buffer
	fmt.Fprintf(&buf, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Goldcrestmux-Request-Id: %s\r\nX-Goldcrestmux-Deadline-Ms: %d\r\n", r.kind.method, r.path, host, r.id, r.left.Milliseconds())
	buf.WriteString("\r\n")
	if _, err := cc.Write(buf.Bytes()); err != nil {
		_ = cc.Close()
		return 0, nil, nil, err
	}
	resp, err := http.ReadResponse(cc.r, &http.Request{Method: r.kind.method})
	if err != nil {
		_ = cc.Close()
		return 0, nil, nil, err
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		_ = cc.Close()
		return 0, nil, nil, err
	}
	if resp.Close {
		_ = cc.Close()
	} else {
		cc.used = time.Now()
		c.mu.Lock()
		c.idle = append(c.idle, cc)
		c.mu.Unlock()
	}
	return resp.StatusCode, resp.Header, data, nil
}

// check returns what is wrong with a success; empty if nothing is. w.mu must be held.
func (w *world) check(r *request, h http.Header, body []byte) string {
	services := map[string]string{}
	for _, l := range w.leafs {
		services[l.id] = l.service
	}
	if len(r.kind.shards) == 0 {
		parts := strings.Split(r.seal, ".")
		if len(parts) != 3 || parts[1] != r.id {
			return "seal " + r.seal
		}
		want := fmt.Sprintf("%s %s %s %x", r.id, r.kind.method, r.path, sha256.Sum256(nil))
		if string(body) != want {
			return "body"
		}
		return ""
	}
	var all [][]byte
	seen := map[string]bool{}
	stamps := strings.Split(strings.Join(h.Values("X-Goldcrestmux-Part-Stamps"), ","), ",")
	for _, s := range stamps {
		parts := strings.Split(strings.TrimSpace(s), ".")
		if len(parts) != 3 || parts[1] != r.id {
			return "stamp " + s
		}
		service := services[parts[0]]
		if seen[service] || service == "" {
			return "two parts of " + service
		}
		seen[service] = true
		part := records(service, r.id, recordsOfPart)
		for ; len(part) >= 16; part = part[16:] {
			all = append(all, part[:16])
		}
	}
	missing, _ := strconv.Atoi(h.Get("X-Goldcrestmux-Missing-Parts"))
	if len(seen)+missing != len(r.kind.shards) {
		return fmt.Sprintf("%d parts and %d missing of %d", len(seen), missing, len(r.kind.shards))
	}
	if float64(len(seen)) < r.kind.least*float64(len(r.kind.shards))-1e-9 {
		return "too few parts"
	}
	sort.Slice(all, func(i, j int) bool { return bytes.Compare(all[i], all[j]) > 0 })
	var want []byte
	for _, rec := range all[:min(len(all), r.kind.topK)] {
		want = append(want, rec...)
	}
	if !bytes.Equal(want, body) {
		return "records"
	}
	return ""
}

// load sends requests of a kind to a machine at a steady rate until stop is closed. A client
// whose request fails sends it once more to another machine, as the pages allow it.
func (w *world) load(wg *sync.WaitGroup, clients []*client, machine int, k *kind, perSecond float64, stop <-chan struct{}) {
	wg.Add(1)
	go func() {
		defer wg.Done()
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		n := 0
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			n++
			path := fmt.Sprintf("%s%x", k.prefix, n%256)
			wg.Add(1)
			go func() {
				defer wg.Done()
				r := clients[machine].do(k, path, true, k.deadline)
				if r.err != nil || r.status == http.StatusTooManyRequests || r.status >= http.StatusInternalServerError {
					wait := r.retryAfter
					left := k.deadline - time.Since(r.sent)
					if wait > left/3 {
						wait = left / 3
					}
					if left > 100*time.Millisecond {
						time.Sleep(wait)
						clients[(machine+1+n%(len(clients)-1))%len(clients)].do(k, path, false, k.deadline-time.Since(r.sent))
					}
				}
			}()
		}
	}()
}

func (w *world) clients() (out []*client) {
	for m := range w.machines {
		out = append(out, &client{w: w, machine: m})
	}
	return out
}

// config returns a configuration with the routes of some kinds.
func config(version int, warmupPerS float64, routes ...map[string]any) map[string]any {
	services := map[string]int{} // with the connections that a server takes
	for _, r := range routes {
		if s, ok := r["service"].(string); ok {
			services[s] = 96
		}
		if list, ok := r["fanout_services"].([]string); ok {
			for _, s := range list {
				services[s] = 25
			}
		}
	}
	var values []map[string]any
	for s, connections := range services {
		values = append(values, map[string]any{
			"name": s, "health_check_path": healthPath, "max_connections": connections, "protocol": "h1", "tls_enabled": false,
			"warmup_s": 3.0, "warmup_per_s": warmupPerS,
		})
	}
	return map[string]any{"version": version, "routes": routes, "services": values, "limits": map[string]any{
		"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
	}}
}

// route returns the route of a kind of request.
func route(k *kind, service string, maxAttempts, priority int) map[string]any {
	r := map[string]any{
		"name": "r-" + k.name, "host": host, "prefix": k.prefix, "route_type": "idempotent", "timeout_ms": k.deadline.Milliseconds(),
		"target_latency_ms": k.aim.Milliseconds(), "priority": priority, "max_attempts": maxAttempts,
	}
	if len(k.shards) > 0 {
		r["fanout_services"], r["top_k"], r["min_shard_share"] = k.shards, k.topK, k.least
	} else {
		r["service"] = service
	}
	return r
}

// writeRecord writes what was sent, answered and run.
func (w *world) writeRecord(file string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var b bytes.Buffer
	for _, n := range w.notes {
		fmt.Fprintln(&b, n)
	}
	at := func(t time.Time) float64 {
		if t.IsZero() {
			return -1
		}
		return t.Sub(w.started).Seconds()
	}
	fmt.Fprintln(&b, "\nrequests: sent ended machine kind id status retry_after first error")
	for _, r := range w.requests {
		fmt.Fprintf(&b, "%.3f %.3f %s %s %s %s %d %.3f %t %v %s\n", at(r.sent), at(r.ended), w.machines[r.machine].name, r.kind.name, r.path, r.id, r.status, r.retryAfter.Seconds(), r.first, r.err, r.wrong)
	}
	fmt.Fprintln(&b, "\nat servers: arrived ended server born machine id path status ran cold leaving")
	for _, a := range w.arrivals {
		fmt.Fprintf(&b, "%.3f %.3f %s %s %s %s %s %d %t %t %t\n", at(a.at), at(a.endedAt), a.leaf, a.born, w.machines[a.machine].name, a.id, a.path, a.status, a.ran, a.cold, a.leaving)
	}
	_ = os.WriteFile(file, b.Bytes(), 0o644)
}

// network is the second number of the loopback addresses of a run, so that runs don't meet.
var network = 100 + os.Getpid()%100
