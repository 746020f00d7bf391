package revision

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/goldcrestmux/goldcrestmux/folder"
	"github.com/goldcrestmux/goldcrestmux/platformapi"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

const (
	step = 100 * time.Millisecond
	// smallFleetLimit and largeFleetLimit bound the time until a change is in
	// force in all processes of a fleet.
	smallFleetLimit = 3 * time.Second
	largeFleetLimit = 8 * time.Second
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func validate(files []folder.File) (*folder.Contracts, error) {
	for _, f := range files {
		if bytes.Contains(f.Data, []byte("faulty")) {
			return nil, errors.Errorf("%s is faulty", f.Name)
		}
	}
	return &folder.Contracts{}, nil
}

type content map[string]string

func manifest(revision uint64, c content) platformapi.Manifest {
	m := platformapi.Manifest{Revision: revision}
	for name, data := range c {
		m.Files = append(m.Files, platformapi.ManifestFile{Name: name, SHA256: hashOf([]byte(data))})
	}
	return m
}

// replica is the state of the configuration service as some processes see it.
type replica struct {
	down     bool
	revision uint64
	files    content
	torn     int // number of further reads that return only half of the content
}

type process struct {
	state         *State
	service       *replica
	peers         []int
	accepted      []uint64
	inForce       string // the files of the revision in force
	rejected      int
	queue         []func()
	isolatedUntil time.Time // end of the time in which messages of peers are lost
}

type fleet struct {
	t         *testing.T
	now       time.Time
	processes []*process
}

// newFleet starts n processes with ten peers each. Revision 1 is in force in all
// of them.
func newFleet(t *testing.T, n int) (*fleet, *replica) {
	service := &replica{revision: 1, files: content{"10-a": "1", "20-b": "1"}}
	f := &fleet{t: t, now: start, processes: make([]*process, n)}
	for i := range f.processes {
		f.processes[i] = &process{service: service}
	}
	for i := range f.processes {
		f.startProcess(i)
	}
	f.run(5 * time.Second)
	f.wantInForce("10-a=1;20-b=1;")
	return f, service
}

func (f *fleet) startProcess(i int) {
	n := len(f.processes)
	p := f.processes[i]
	*p = process{service: p.service, isolatedUntil: p.isolatedUntil}
	p.state = New(f.now, Options{Validate: validate, Rand: rand.New(rand.NewPCG(1, uint64(i)))})
	var names []string
	for _, d := range []int{1, 2, 7, 31, 101} {
		for _, peer := range []int{(i + d) % n, (i + n - d%n) % n} {
			p.peers = append(p.peers, peer)
			names = append(names, fmt.Sprint(peer))
		}
	}
	f.perform(i, p.state.SetPeers(f.now, names, n))
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(step)
		second := f.now.Sub(start)%time.Second == 0
		for i, p := range f.processes {
			queue := p.queue
			p.queue = nil
			for _, event := range queue {
				event()
			}
			f.perform(i, p.state.Tick(f.now))
			if second {
				f.offer(i, p.state.CurrentOffer())
			}
			if second && !p.service.down {
				f.perform(i, p.state.ManifestReceived(f.now, Service, manifest(p.service.revision, p.service.files)))
			}
		}
	}
}

func (f *fleet) offer(from int, offer wire.FolderOffer) {
	for _, i := range f.processes[from].peers {
		f.deliverFromPeer(i, func(s *State) []Action { return s.OfferReceived(f.now, fmt.Sprint(from), offer) })
	}
}

func (f *fleet) deliverFromPeer(i int, event func(*State) []Action) {
	if f.now.After(f.processes[i].isolatedUntil) {
		f.enqueue(i, event)
	}
}

func (f *fleet) enqueue(i int, event func(*State) []Action) {
	p := f.processes[i]
	p.queue = append(p.queue, func() { f.perform(i, event(p.state)) })
}

func (f *fleet) perform(i int, actions []Action) {
	p := f.processes[i]
	for _, action := range actions {
		switch a := action.(type) {
		case ReadFile:
			f.enqueue(i, func(s *State) []Action { return f.read(p, s, a) })
		case SendRequest:
			var peer int
			fmt.Sscan(a.Peer, &peer)
			f.enqueue(peer, func(responder *State) []Action {
				response := responder.Respond(a.Request)
				f.deliverFromPeer(i, func(s *State) []Action { return s.ResponseReceived(f.now, a.Peer, response) })
				return nil
			})
		case Accepted:
			f.accept(p, a)
		case Rejected:
			p.rejected++
		case Offer:
			f.offer(i, a.FolderOffer)
		}
	}
}

func (f *fleet) read(p *process, s *State, a ReadFile) []Action {
	data, ok := p.service.files[a.Name]
	if p.service.down || !ok {
		return s.ReadFailed(f.now, a.Name, a.SHA256)
	}
	if p.service.torn > 0 {
		p.service.torn--
		data = data[:len(data)/2]
	}
	return s.FileRead(f.now, a.Name, a.SHA256, []byte(data))
}

func (f *fleet) accept(p *process, a Accepted) {
	if n := len(p.accepted); n > 0 && a.Revision < p.accepted[n-1] {
		f.t.Errorf("revision %d accepted after %d", a.Revision, p.accepted[n-1])
	}
	p.accepted = append(p.accepted, a.Revision)
	var merged strings.Builder
	for _, file := range a.Files {
		fmt.Fprintf(&merged, "%s=%s;", file.Name, file.Data)
	}
	p.inForce = merged.String()
}

func (f *fleet) wantInForce(want string) {
	f.t.Helper()
	for i, p := range f.processes {
		if p.inForce != want {
			f.t.Errorf("process %d has %q in force, want %q", i, p.inForce, want)
		}
	}
}

func TestChangeReachesAllProcesses(t *testing.T) {
	tests := []struct {
		name      string
		processes int
		limit     time.Duration
		change    func(f *fleet, service *replica)
		want      string
		rejected  int // by each process
	}{
		{"service up", 18, smallFleetLimit, func(_ *fleet, service *replica) {
			service.revision, service.files = 2, content{"10-a": "1", "20-b": "2"}
		}, "10-a=1;20-b=2;", 0},
		{"service down for all but one", 18, smallFleetLimit, downForAllButOne, "10-a=1;20-b=2;", 0},
		{"service down for all but one of a large fleet", 920, largeFleetLimit, downForAllButOne, "10-a=1;20-b=2;", 0},
		{"service stale for all but one", 18, smallFleetLimit, func(f *fleet, service *replica) {
			stale := *service
			for _, p := range f.processes[1:] {
				p.service = &stale
			}
			service.revision, service.files = 2, content{"10-a": "1", "20-b": "2"}
		}, "10-a=1;20-b=2;", 0},
		{"first reads torn", 18, smallFleetLimit, func(_ *fleet, service *replica) {
			service.revision, service.files, service.torn = 2, content{"10-a": "1", "20-b": "22"}, 6
		}, "10-a=1;20-b=22;", 0},
		{"two operators write at once", 18, smallFleetLimit, func(f *fleet, _ *replica) {
			first := &replica{revision: 2, files: content{"10-a": "2", "20-b": "1"}}
			second := &replica{revision: 3, files: content{"10-a": "2", "20-b": "2"}}
			for i, p := range f.processes {
				p.service = []*replica{first, second}[i%2]
			}
		}, "10-a=2;20-b=2;", 0},
		{"invalid revision", 18, time.Minute, func(_ *fleet, service *replica) {
			service.revision, service.files = 2, content{"10-a": "faulty"}
		}, "10-a=1;20-b=1;", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f, service := newFleet(t, test.processes)
			test.change(f, service)
			f.run(test.limit)
			f.wantInForce(test.want)
			for i, p := range f.processes {
				if p.rejected != test.rejected {
					t.Errorf("process %d reported %d rejections, want %d", i, p.rejected, test.rejected)
				}
			}
			f.processes[0].service = &replica{revision: 4, files: content{"10-a": "4"}}
			f.run(test.limit)
			f.wantInForce("10-a=4;")
		})
	}
}

func downForAllButOne(f *fleet, service *replica) {
	for _, p := range f.processes[1:] {
		p.service = &replica{down: true}
	}
	service.revision, service.files = 2, content{"10-a": "1", "20-b": "2"}
}

// A process that restarts while its replica of the service is stale, and that
// receives messages of peers only after 3 s, must not be ready with the stale
// revision.
func TestRestartedProcessWaitsForPeers(t *testing.T) {
	f, service := newFleet(t, 9)
	stale := *service
	service.revision, service.files = 2, content{"10-a": "2"}
	f.run(smallFleetLimit)
	restarted := f.processes[4]
	restarted.service, restarted.isolatedUntil = &stale, f.now.Add(3*time.Second)
	f.startProcess(4)
	for range 100 {
		f.run(step)
		ready, _ := restarted.state.Ready(f.now)
		if ready && restarted.state.Status().Revision != 2 {
			t.Fatalf("ready after accepting revisions %v, want 2 last", restarted.accepted)
		}
	}
	if ready, reason := restarted.state.Ready(f.now); !ready || restarted.accepted[0] != 1 {
		t.Errorf("accepted revisions %v, want 1 first and the process ready (not ready: %q)", restarted.accepted, reason)
	}
}

// A process is not ready while it fetches a newer revision that a peer offers.
func TestNotReadyWhileFetchingNewerRevision(t *testing.T) {
	s := New(start, Options{Validate: validate, Rand: rand.New(rand.NewPCG(1, 1))})
	s.SetPeers(start, []string{"p"}, 1)
	response := wire.FolderResponse{Revision: 1}
	s.ResponseReceived(start, "p", response)
	s.OfferReceived(start, "p", wire.FolderOffer{Revision: 2, Digest: "d"})
	if ready, reason := s.Ready(start); ready {
		t.Errorf("ready without revision 2 (%s)", reason)
	}
	response.Revision = 3
	s.ResponseReceived(start, "p", response)
	if ready, reason := s.Ready(start); !ready {
		t.Errorf("not ready: %s", reason)
	}
}

func digestOf(data string) string {
	m := manifest(2, content{"x": data})
	return newCandidate(&m, Service).digest
}

// If two contents have one revision number, the content that the service itself
// names replaces a peer's, and between peers the greater digest wins. Each
// conflict is reported once.
func TestConflictingContentsOfOneRevision(t *testing.T) {
	lower, higher := "a", "b"
	if digestOf(lower) > digestOf(higher) {
		lower, higher = higher, lower
	}
	response := func(data string) wire.FolderResponse {
		return wire.FolderResponse{Revision: 2, Files: []wire.FolderFile{{Name: "x", SHA256: hashOf([]byte(data)), Data: []byte(data)}}}
	}
	type source struct{ peer, data string }
	tests := []struct {
		sources []source
		want    string
	}{
		{[]source{{"p", lower}, {"q", higher}, {"p", lower}}, higher},
		{[]source{{"p", higher}, {"q", lower}, {"q", lower}}, higher},
		{[]source{{"p", higher}, {"", lower}, {"p", higher}}, lower},
		{[]source{{"", lower}, {"p", higher}, {"p", higher}}, lower},
	}
	for _, test := range tests {
		s := New(start, Options{Validate: validate, Rand: rand.New(rand.NewPCG(1, 1))})
		conflicts := 0
		got := ""
		record := func(actions []Action) {
			for _, action := range actions {
				switch a := action.(type) {
				case Accepted:
					got = string(a.Files[0].Data)
				case Conflict:
					conflicts++
				}
			}
		}
		s.SetPeers(start, nil, 1)
		now := start.Add(time.Second)
		for _, src := range test.sources {
			if src.peer != "" {
				record(s.ResponseReceived(now, src.peer, response(src.data)))
				continue
			}
			record(s.ManifestReceived(now, Service, manifest(2, content{"x": src.data})))
			record(s.FileRead(now, "x", hashOf([]byte(src.data)), []byte(src.data)))
		}
		if got != test.want || conflicts != 1 {
			t.Errorf("%v: %q in force with %d conflicts reported, want %q and 1", test.sources, got, conflicts, test.want)
		}
	}
}
