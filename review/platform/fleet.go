//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of a machine, the same on all machines.
const (
	frontPort   = 8104
	controlPort = 8106
	readyPort   = 8108
	metricsPort = 9180
)

// runCommand is that of the deploy file.
var runCommand = []string{"target/gcmux-entry", "-metrics-port", "9180"}

// machine is a machine with one process of the role that carries the traffic.
type machine struct {
	f        *fleet
	number   int
	name     string
	zone     string
	ip       string
	settings string // path
	log      *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed when cmd has ended; stopping is true if the case ends it.
	exited   chan struct{}
	stopping bool
	ends     int // by itself
}

// fleet is a small deployment: machines, servers, the store and the operator.
type fleet struct {
	rec      *record
	dir      string
	store    *store
	machines []*machine
	leafs    []*leaf
	bounds   map[string]any
	host     string // the first three parts of all addresses
	version  uint64
	servers  []*http.Server
}

// bounds of the small deployments (SYSTEM.md).
func smallBounds() map[string]any {
	return map[string]any{
		"seed_lag_s": 3, "address_reuse_s": 2, "contact_ms": 4000, "ack_timeout_ms": 5000, "catch_up_s": 4, "drain_ms": 3000,
		"grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 3000, "rollback_slack_ms": 250, "max_skew_ms": 12000,
		"retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 58, "warmup_overshoot": 1.5, "warmup_slack": 5,
		"evacuate_ms": 5000, "recovery_s": 12,
	}
}

// newFleet prepares n machines in the zones by turns. view may be nil.
func newFleet(rec *record, n int, zones []string, view func(f *fleet, machine int, key string, value []byte) []byte) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, dir: dir, store: newStore(), bounds: smallBounds()}
	if f.host, err = freeHost(n); err != nil {
		return nil, err
	}
	var seeds []string
	for i := range n {
		m := &machine{f: f, number: i, zone: zones[i%len(zones)], ip: fmt.Sprintf("%s.%d", f.host, i+1)}
		m.name = fmt.Sprintf("frontend-%s-%d", m.zone, i/len(zones)+1)
		m.settings = filepath.Join(dir, m.name+".toml")
		f.machines = append(f.machines, m)
		if i < 3 {
			seeds = append(seeds, fmt.Sprintf("%s:%d", m.ip, controlPort))
		}
	}
	for _, m := range f.machines {
		l, err := net.Listen("tcp", m.ip+":0")
		if err != nil {
			return nil, err
		}
		var seen func(key string, value []byte) []byte
		if view != nil {
			seen = func(key string, value []byte) []byte { return view(f, m.number, key, value) }
		}
		server := &http.Server{Handler: f.store.handler(m.number, seen)}
		f.servers = append(f.servers, server)
		go func() { _ = server.Serve(l) }()
		if err := m.writeSettings(zones, seeds, l.Addr().String()); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// freeHost returns three parts of loopback addresses of which the first n have free ports.
func freeHost(n int) (string, error) {
	for try := range 200 {
		p := os.Getpid() + 7919*try
		host := fmt.Sprintf("127.%d.%d", 10+p/250%200, 1+p%250)
		if hostFree(host, n) {
			return host, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

func hostFree(host string, n int) bool {
	for i := range n {
		for _, port := range []int{frontPort, controlPort, readyPort, metricsPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", host, i+1, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (m *machine) writeSettings(zones, seeds []string, store string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "node_name = %q\nrole = \"entry\"\nmachine_class = \"frontend\"\nserves = [\"frontend\",\"control_plane\"]\n", m.name)
	fmt.Fprintf(&b, "ip = %q\nzone = %q\nregion = \"r\"\ninternal_port_range = [7380,7395]\nseed_nodes = [\"%s\"]\n", m.ip, m.zone, strings.Join(seeds, `","`))
	b.WriteString("bootstrap = true\nloss_counts = false\ndiscovery = \"platform\"\nentry_kind = \"vip\"\nheartbeat_interval_ms = 1200\n")
	b.WriteString("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"scatter\",\"places\",\"platform\"]\n[zones]\n")
	seen := map[string]bool{}
	for _, z := range zones {
		if !seen[z] {
			fmt.Fprintf(&b, "%s = \"r\"\n", z)
		}
		seen[z] = true
	}
	fmt.Fprintf(&b, "[listen_addrs]\nfrontend_addr = \"%s:%d\"\nready = \"%s:%d\"\ncontrol_plane = \"%s:%d\"\n", m.ip, frontPort, m.ip, readyPort, m.ip, controlPort)
	b.WriteString("[limits]\ncpu_share = 0.4\ncpu_cores = 1\nmemory_mb = 284\nmax_open_files = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n")
	fmt.Fprintf(&b, "[fault_tolerance]\nmachines = 2\nzones = 1\nregions = 0\n[bounds]\n")
	for k, v := range m.f.bounds {
		fmt.Fprintf(&b, "%s = %v\n", k, v)
	}
	fmt.Fprintf(&b, "[platform]\naddress = %q\nform = \"read\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nmin_ttl_ms = 1000\n", store)
	return os.WriteFile(m.settings, []byte(b.String()), 0o600)
}

// start starts the process of the machine; it is started again if it ends by itself.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.log == nil {
		f, err := os.Create(filepath.Join(m.f.dir, m.name+".log"))
		if err != nil {
			return err
		}
		m.log = f
	}
	cmd := exec.Command(runCommand[0], runCommand[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.f.dir, "LANG=C", "GOLDCRESTMUX_SETTINGS=" + m.settings}
	cmd.Stdout, cmd.Stderr = m.log, m.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.cmd, m.exited, m.stopping = cmd, exited, false
	go func() {
		err := cmd.Wait()
		m.mu.Lock()
		byItself := m.cmd == cmd && !m.stopping
		if byItself {
			m.ends++
		}
		m.mu.Unlock()
		close(exited)
		if byItself {
			m.f.rec.say("%s ended by itself: %v", m.name, err)
			time.Sleep(200 * time.Millisecond)
			_ = m.start()
		}
	}()
	return nil
}

func (m *machine) signal(sig syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil && m.cmd.Process != nil {
		_ = m.cmd.Process.Signal(sig)
	}
	m.f.rec.say("%s gets %v", m.name, sig)
}

// end ends the process by a signal and waits for it, at most the given time.
func (m *machine) end(sig syscall.Signal, most time.Duration) {
	m.mu.Lock()
	m.stopping = true
	exited := m.exited
	m.mu.Unlock()
	if exited == nil {
		return
	}
	m.signal(sig)
	select {
	case <-exited:
	case <-time.After(most):
		m.signal(syscall.SIGKILL)
		<-exited
	}
}

func (m *machine) ready() bool {
	c := http.Client{Timeout: 300 * time.Millisecond}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/ready", m.ip, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// version returns the version of the configuration in force, by the metrics page; zero if
// there is no answer. It is for the record only.
func (m *machine) version() uint64 {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/debug/vars", m.ip, metricsPort))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var v struct {
		State struct {
			Version uint64 `json:"version"`
		} `json:"state"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&v)
	return v.State.Version
}

// startAll starts all machines and waits until they are ready.
func (f *fleet) startAll() error {
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	until := time.Now().Add(15 * time.Second)
	for _, m := range f.machines {
		for !m.ready() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.rec.say("%d machines are ready", len(f.machines))
	return nil
}

// close ends all processes and keeps their logs if KEEP_LOGS names a folder.
func (f *fleet) close() {
	for _, m := range f.machines {
		m.mu.Lock()
		running := m.cmd != nil
		m.mu.Unlock()
		if running {
			m.signal(syscall.SIGCONT)
			m.end(syscall.SIGKILL, time.Second)
		}
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	for _, l := range f.leafs {
		l.close()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.MkdirAll(keep, 0o755)
		for _, m := range f.machines {
			if data, err := os.ReadFile(filepath.Join(f.dir, m.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, m.name+".log"), data, 0o600)
			}
		}
	}
	_ = os.RemoveAll(f.dir)
}

// peers returns the number of other machines that the process knows, by the metrics page. It is
// for the record only.
func (m *machine) peers() int {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/debug/vars", m.ip, metricsPort))
	if err != nil {
		return -1
	}
	defer resp.Body.Close()
	var v struct {
		State struct {
			Peers []any `json:"peers"`
		} `json:"state"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&v)
	return len(v.State.Peers)
}
