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

// fakeNetwork delivers frames between the nodes of a test.
type fakeNetwork struct {
	mu    sync.Mutex
	nodes map[string]*Node
}

// endpoint connects one node to a fakeNetwork. It implements Links.
type endpoint struct {
	network *fakeNetwork
	self    wire.Process
}

func (e *endpoint) SetPeers(map[string]link.Peer) {}

func (e *endpoint) Send(name string, f *wire.Frame) error {
	e.network.mu.Lock()
	to := e.network.nodes[name]
	e.network.mu.Unlock()
	if to == nil {
		return link.ErrUnknownPeer
	}
	go to.ReceiveFrame(e.self, f)
	return nil
}

// testNode is a node that records the contracts that came into force.
type testNode struct {
	*Node
	contracts chan *folder.Contracts
}

func startNode(t *testing.T, network *fakeNetwork, vm string, folderAddress, vmAddress string) *testNode {
	t.Helper()
	self := wire.Process{VM: vm, Role: wire.RoleRelay, DataCentre: "dc1", Incarnation: 1}
	n := &testNode{contracts: make(chan *folder.Contracts, 16)}
	n.Node = New(Options{
		Self: self, Region: "r1", Logger: slog.New(slog.DiscardHandler), Links: &endpoint{network: network, self: self},
		ConfigClients:      []*platformapi.ConfigClient{platformapi.NewConfigClient(platformapi.ClientOptions{Address: folderAddress})},
		VMListClient:       platformapi.NewVMListClient(platformapi.ClientOptions{Address: vmAddress}),
		VMListPollInterval: 50 * time.Millisecond, VMListMaxAge: time.Second, HeartbeatInterval: 100 * time.Millisecond,
		Events: Events{Contracts: func(c *folder.Contracts) { n.contracts <- c }},
	})
	network.mu.Lock()
	network.nodes[self.Name()] = n.Node
	network.mu.Unlock()
	n.Start()
	t.Cleanup(n.Stop)
	return n
}

// awaitDataCentre waits for contracts that contain the data centre.
func (n *testNode) awaitDataCentre(t *testing.T, dataCentre string) {
	t.Helper()
	timeout := time.After(10 * time.Second)
	for {
		select {
		case c := <-n.contracts:
			if _, ok := c.DataCentres[dataCentre]; ok {
				return
			}
		case <-timeout:
			t.Fatalf("%s: no contracts with data centre %s within 10 s", n.opts.Self.Name(), dataCentre)
		}
	}
}

// A process that cannot reach the configuration service gets the revisions from a
// peer, also the one after the invalid revision 3.
func TestFolderFromPeerWhileServiceIsDown(t *testing.T) {
	fake := &fakePlatform{files: map[string]string{}}
	for _, name := range []string{"vm1", "vm2"} {
		fake.vms = append(fake.vms, platformapi.VM{Name: name, DataCentre: "dc1", Region: "r1", Links: map[wire.Role]string{wire.RoleRelay: name}})
	}
	fake.put("10-a.json", `{"data_centres": {"dc1": {"region": "r1"}}}`)
	srv := httptest.NewServer(fake)
	t.Cleanup(srv.Close)
	up := strings.TrimPrefix(srv.URL, "http://")
	down := httptest.NewServer(http.NotFoundHandler())
	down.Close()
	network := &fakeNetwork{nodes: map[string]*Node{}}
	withService := startNode(t, network, "vm1", up, up)
	withoutService := startNode(t, network, "vm2", strings.TrimPrefix(down.URL, "http://"), up)
	withService.awaitDataCentre(t, "dc1")
	withoutService.awaitDataCentre(t, "dc1")
	fake.put("20-b.json", `{"data_centres": {"dc2": {"region": "r1"}}}`)
	withService.awaitDataCentre(t, "dc2")
	withoutService.awaitDataCentre(t, "dc2")
	fake.put("30-c.json", `{"data_centers": {}}`)
	fake.put("30-c.json", `{"data_centres": {"dc3": {"region": "r1"}}}`)
	withoutService.awaitDataCentre(t, "dc3")
	if s := withoutService.State(); s.Folder.Revision != 4 || s.Folder.Source != "vm1/relay" {
		t.Fatalf("revision %d from %q, want 4 from vm1/relay", s.Folder.Revision, s.Folder.Source)
	}
}

func TestEmptyFolderIsRejected(t *testing.T) {
	if _, err := validate(nil); err != errEmptyFolder {
		t.Fatalf("error %v, want %v", err, errEmptyFolder)
	}
}

func TestPauseDetectedByEitherClock(t *testing.T) {
	last := time.Now()
	for _, tc := range []struct {
		name string
		now  time.Time
		want bool
	}{
		{"normal tick", last.Add(200 * time.Millisecond), false},
		{"process stopped", last.Add(3 * time.Second), true},
		{"VM suspended, monotonic clock not advanced", last.Round(0).Add(time.Hour), true},
	} {
		if got := paused(last, tc.now); got != tc.want {
			t.Errorf("%s: paused %v, want %v", tc.name, got, tc.want)
		}
	}
}
