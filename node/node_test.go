package node

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/folder"
	"github.com/goldcrestmux/goldcrestmux/link"
	"github.com/goldcrestmux/goldcrestmux/platformapi"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// fakePlatform serves one folder revision and a VM list. It is safe for
// concurrent use.
type fakePlatform struct {
	mu       sync.Mutex
	revision uint64
	files    map[string]string
	vms      []platformapi.VM
}

func (f *fakePlatform) put(name, data string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.files[name] = data
	f.revision++
}

func (f *fakePlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case r.URL.Path == platformapi.PathVMs:
		_ = json.NewEncoder(w).Encode(platformapi.VMList{Sequence: 1, VMs: f.vms})
	case r.URL.Path == platformapi.PathManifest:
		m := platformapi.Manifest{Revision: f.revision}
		for name, data := range f.files {
			m.Files = append(m.Files, platformapi.ManifestFile{Name: name, SHA256: folder.HashFile([]byte(data))})
		}
		_ = json.NewEncoder(w).Encode(m)
	default:
		_, _ = w.Write([]byte(f.files[strings.TrimPrefix(r.URL.Path, platformapi.PathFile)]))
	}
}

// fabric carries frames between the nodes of a test.
type fabric struct {
	mu    sync.Mutex
	nodes map[string]*Node
}

// port is one node's end of the fabric. It implements Links.
type port struct {
	fabric *fabric
	self   wire.Process
}

func (p *port) SetPeers(map[string]link.Peer) {}

func (p *port) Send(name string, f *wire.Frame) error {
	p.fabric.mu.Lock()
	to := p.fabric.nodes[name]
	p.fabric.mu.Unlock()
	if to == nil {
		return link.ErrUnknownPeer
	}
	go to.ReceiveFrame(p.self, f)
	return nil
}

// testNode is a node that records the revisions that came into force.
type testNode struct {
	*Node
	revisions chan *folder.Contracts
}

func startNode(t *testing.T, f *fabric, vm string, folderAddress, vmAddress string) *testNode {
	t.Helper()
	self := wire.Process{VM: vm, Role: wire.RoleRelay, DataCentre: "dc1", Incarnation: 1}
	n := &testNode{revisions: make(chan *folder.Contracts, 16)}
	n.Node = New(Options{
		Self: self, Region: "r1", Logger: slog.New(slog.DiscardHandler), Links: &port{fabric: f, self: self},
		ConfigClients:      []*platformapi.ConfigClient{platformapi.NewConfigClient(platformapi.ClientOptions{Address: folderAddress})},
		VMListClient:       platformapi.NewVMListClient(platformapi.ClientOptions{Address: vmAddress}),
		VMListPollInterval: 50 * time.Millisecond, VMListMaxAge: time.Second, HeartbeatInterval: 100 * time.Millisecond,
		Events: Events{Contracts: func(c *folder.Contracts) { n.revisions <- c }},
	})
	f.mu.Lock()
	f.nodes[self.Name()] = n.Node
	f.mu.Unlock()
	n.Start()
	t.Cleanup(n.Stop)
	return n
}

// await waits for contracts with the data centre.
func (n *testNode) await(t *testing.T, dataCentre string) {
	t.Helper()
	timeout := time.After(10 * time.Second)
	for {
		select {
		case c := <-n.revisions:
			if _, ok := c.DataCentres[dataCentre]; ok {
				return
			}
		case <-timeout:
			t.Fatalf("%s: no contracts with %s", n.opts.Self.Name(), dataCentre)
		}
	}
}

func TestPeersPassTheFolderOnWhereTheServiceIsDown(t *testing.T) {
	f := &fakePlatform{files: map[string]string{}}
	for _, name := range []string{"vm1", "vm2"} {
		f.vms = append(f.vms, platformapi.VM{Name: name, DataCentre: "dc1", Region: "r1", Links: map[wire.Role]string{wire.RoleRelay: name}})
	}
	f.put("10-a.json", `{"data_centres": {"dc1": {"region": "r1"}}}`)
	srv := httptest.NewServer(f)
	t.Cleanup(srv.Close)
	up := strings.TrimPrefix(srv.URL, "http://")
	down := httptest.NewServer(http.NotFoundHandler())
	down.Close()
	net := &fabric{nodes: map[string]*Node{}}
	reader := startNode(t, net, "vm1", up, up)
	cut := startNode(t, net, "vm2", strings.TrimPrefix(down.URL, "http://"), up)
	reader.await(t, "dc1")
	cut.await(t, "dc1")
	f.put("20-b.json", `{"data_centres": {"dc2": {"region": "r1"}}}`)
	reader.await(t, "dc2")
	cut.await(t, "dc2")
	f.put("30-c.json", `{"data_centers": {}}`)
	f.put("30-c.json", `{"data_centres": {"dc3": {"region": "r1"}}}`)
	cut.await(t, "dc3")
	if s := cut.State(); s.Folder.Revision != 4 || s.Folder.Source != "vm1/relay" {
		t.Fatalf("revision %d from %q, want 4 from vm1/relay", s.Folder.Revision, s.Folder.Source)
	}
}

func TestEmptyFolderIsRefused(t *testing.T) {
	if _, err := check(nil); err != errEmptyFolder {
		t.Fatalf("error %v, want %v", err, errEmptyFolder)
	}
}

func TestPauseIsNoticedByEitherClock(t *testing.T) {
	last := time.Now()
	for _, tc := range []struct {
		name string
		now  time.Time
		want bool
	}{
		{"in time", last.Add(200 * time.Millisecond), false},
		{"stopped", last.Add(3 * time.Second), true},
		{"suspended: the monotonic clock stood still", last.Round(0).Add(time.Hour), true},
	} {
		if got := paused(last, tc.now); got != tc.want {
			t.Errorf("%s: paused %v, want %v", tc.name, got, tc.want)
		}
	}
}
