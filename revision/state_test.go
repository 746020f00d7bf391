package revision

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/goldcrestmux/goldcrestmux/folder"
	"github.com/goldcrestmux/goldcrestmux/platform"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

const (
	step = 100 * time.Millisecond
	// inForceToday is how long a change may take to be in force everywhere.
	inForceToday = 3 * time.Second
	// serviceBudget is the number of calls a second that the service bears; a
	// waiting watch counts as one.
	serviceBudget = 2000
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func check(files []folder.File) (*folder.Contracts, error) {
	for _, f := range files {
		if bytes.Contains(f.Data, []byte("faulty")) {
			return nil, errors.Errorf("%s is faulty", f.Name)
		}
	}
	return &folder.Contracts{}, nil
}

type content map[string]string

func manifest(revision uint64, c content) platform.Manifest {
	m := platform.Manifest{Revision: revision}
	for name, data := range c {
		m.Files = append(m.Files, platform.ManifestFile{Name: name, SHA256: hashOf([]byte(data))})
	}
	return m
}

// replica is what the configuration service answers to one process.
type replica struct {
	down     bool
	revision uint64
	files    content
	torn     int // number of reads to come that are torn
}

type process struct {
	state    *State
	service  *replica
	peers    []int
	inForce  []uint64
	merged   string
	rejected int
	queue    []func()
}

type fleet struct {
	t         *testing.T
	now       time.Time
	processes []*process
}

// newFleet starts n processes, each of which has the next three for peers.
func newFleet(t *testing.T, n int, service *replica) *fleet {
	f := &fleet{t: t, now: start}
	for i := range n {
		f.processes = append(f.processes, &process{service: service})
		f.boot(i)
	}
	return f
}

func (f *fleet) boot(i int) {
	p := f.processes[i]
	p.state = New(f.now, Options{Check: check, Rand: rand.New(rand.NewPCG(1, uint64(i)))})
	p.inForce, p.merged, p.queue = nil, "", nil
}

func (f *fleet) link() {
	n := len(f.processes)
	for i, p := range f.processes {
		p.peers = nil
		for _, d := range []int{1, 2, 3, n - 1, n - 2, n - 3} {
			p.peers = append(p.peers, (i+d)%n)
		}
		f.do(i, p.state.SetPeers(f.now, names(p.peers), n))
	}
}

func names(peers []int) []string {
	var list []string
	for _, p := range peers {
		list = append(list, fmt.Sprint(p))
	}
	return list
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
			f.do(i, p.state.Tick(f.now))
			if second {
				f.offer(i, p.state.Current())
			}
			if second && !p.service.down {
				f.do(i, p.state.Manifest(f.now, Service, manifest(p.service.revision, p.service.files)))
			}
		}
	}
}

func (f *fleet) offer(from int, offer wire.FolderOffer) {
	for _, i := range f.processes[from].peers {
		f.later(i, func(s *State) []Action { return s.Offer(f.now, fmt.Sprint(from), offer) })
	}
}

func (f *fleet) later(i int, event func(*State) []Action) {
	p := f.processes[i]
	p.queue = append(p.queue, func() { f.do(i, event(p.state)) })
}

func (f *fleet) do(i int, actions []Action) {
	p := f.processes[i]
	for _, action := range actions {
		switch a := action.(type) {
		case ReadFile:
			f.later(i, func(s *State) []Action { return f.read(p, s, a) })
		case AskPeer:
			var peer int
			fmt.Sscan(a.Peer, &peer)
			f.later(peer, func(asked *State) []Action {
				answer := asked.FolderAsk(a.Ask)
				f.later(i, func(s *State) []Action { return s.FolderAnswer(f.now, a.Peer, answer) })
				return nil
			})
		case InForce:
			f.inForce(p, a)
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

func (f *fleet) inForce(p *process, a InForce) {
	if n := len(p.inForce); n > 0 && a.Revision < p.inForce[n-1] {
		f.t.Errorf("revision %d came after %d", a.Revision, p.inForce[n-1])
	}
	p.inForce = append(p.inForce, a.Revision)
	var merged strings.Builder
	for _, file := range a.Files {
		fmt.Fprintf(&merged, "%s=%s;", file.Name, file.Data)
	}
	p.merged = merged.String()
}

func (f *fleet) wantMerged(want string) {
	f.t.Helper()
	for i, p := range f.processes {
		if p.merged != want {
			f.t.Errorf("process %d has %q in force, want %q", i, p.merged, want)
		}
	}
}

func TestChangeIsInForceEverywhere(t *testing.T) {
	tests := []struct {
		name  string
		fault func(f *fleet)
	}{
		{"calm", func(*fleet) {}},
		{"service down for all but one", func(f *fleet) {
			for _, p := range f.processes[1:] {
				p.service = &replica{down: true}
			}
		}},
		{"service stale for all but one", func(f *fleet) {
			stale := *f.processes[0].service
			for _, p := range f.processes[1:] {
				p.service = &stale
			}
		}},
		{"every third read torn at first", func(f *fleet) { f.processes[0].service.torn = 6 }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			service := &replica{revision: 1, files: content{"10-a": "one", "20-b": "two"}}
			f := newFleet(t, 18, service)
			f.link()
			f.run(5 * time.Second)
			f.wantMerged("10-a=one;20-b=two;")
			test.fault(f)
			service.revision, service.files = 2, content{"10-a": "one", "20-b": "out"}
			f.run(inForceToday)
			f.wantMerged("10-a=one;20-b=out;")
			if torn := f.processes[0].state.Status().Counts.Torn; test.name == "calm" && torn > 0 {
				t.Errorf("%d torn reads", torn)
			}
		})
	}
}

// Two operators write at once: the service orders their writes, and some
// processes see only one of them before the other.
func TestTwoOperatorsEndInOneResult(t *testing.T) {
	service := &replica{revision: 1, files: content{"10-a": "1", "20-b": "1"}}
	f := newFleet(t, 18, service)
	f.link()
	f.run(5 * time.Second)
	first := &replica{revision: 2, files: content{"10-a": "2", "20-b": "1"}}
	second := &replica{revision: 3, files: content{"10-a": "2", "20-b": "2"}}
	for i, p := range f.processes {
		p.service = []*replica{first, second}[i%2]
	}
	f.run(inForceToday)
	f.wantMerged("10-a=2;20-b=2;")
}

func TestFaultyRevisionIsNeverAdopted(t *testing.T) {
	service := &replica{revision: 1, files: content{"10-a": "1"}}
	f := newFleet(t, 6, service)
	f.link()
	f.run(5 * time.Second)
	service.revision, service.files = 2, content{"10-a": "faulty"}
	f.run(time.Minute)
	f.wantMerged("10-a=1;")
	for i, p := range f.processes {
		if p.rejected != 1 {
			t.Errorf("process %d told of the rejection %d times, want once", i, p.rejected)
		}
	}
	service.revision, service.files = 3, content{"10-a": "3"}
	f.run(inForceToday)
	f.wantMerged("10-a=3;")
}

func TestFreshProcessAsksPeersFirst(t *testing.T) {
	service := &replica{revision: 1, files: content{"10-a": "1"}}
	f := newFleet(t, 9, service)
	stale := *service
	f.link()
	service.revision, service.files = 2, content{"10-a": "2"}
	f.run(5 * time.Second)
	f.processes[4].service = &stale
	f.boot(4)
	f.link()
	for range 100 {
		f.run(step)
		ready, _ := f.processes[4].state.Ready(f.now)
		if ready && !slices.Equal(f.processes[4].inForce[len(f.processes[4].inForce)-1:], []uint64{2}) {
			t.Fatalf("ready with revisions %v", f.processes[4].inForce)
		}
	}
	if ready, why := f.processes[4].state.Ready(f.now); !ready {
		t.Errorf("not ready: %s", why)
	}
}

// Two contents under one number: the service's own answer beats a peer's, and
// between peers the greater digest wins; each dispute is told once.
func TestConflictingContentsOfOneRevision(t *testing.T) {
	a := newCandidate(new(manifest(2, content{"x": "a"})), Source{Peer: "p"})
	b := newCandidate(new(manifest(2, content{"x": "b"})), Source{Peer: "q"})
	lower, higher := "a", "b"
	if a.digest > b.digest {
		lower, higher = "b", "a"
	}
	answer := func(data string) wire.FolderAnswer {
		return wire.FolderAnswer{Revision: 2, Files: []wire.FolderFile{{Name: "x", SHA256: hashOf([]byte(data)), Data: []byte(data)}}}
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
		s := New(start, Options{Check: check, Rand: rand.New(rand.NewPCG(1, 1))})
		conflicts := 0
		got := ""
		note := func(actions []Action) {
			for _, action := range actions {
				switch a := action.(type) {
				case InForce:
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
				note(s.FolderAnswer(now, src.peer, answer(src.data)))
				continue
			}
			note(s.Manifest(now, Service, manifest(2, content{"x": src.data})))
			note(s.FileRead(now, "x", hashOf([]byte(src.data)), []byte(src.data)))
		}
		if got != test.want || conflicts != 1 {
			t.Errorf("%v: %q in force with %d conflicts told, want %q and one", test.sources, got, conflicts, test.want)
		}
	}
}

// The calls of a fleet stay within the service's budget: at rest, after a
// change, and while the service is down.
func TestServiceBudget(t *testing.T) {
	const processes = 920
	var all []string
	for i := range processes {
		all = append(all, fmt.Sprintf("entry-%d", i))
	}
	for _, down := range []bool{false, true} {
		calls := map[time.Duration]int{}
		watchers := 0
		for i, name := range all {
			p := NewPacer(Options{Rand: rand.New(rand.NewPCG(2, uint64(i)))})
			watch := p.Watches(name, all)
			if watch {
				watchers++
			}
			for at := time.Duration(0); at < 2*time.Minute; {
				pause, wait := p.Next(watch, down)
				at += pause
				calls[at.Truncate(time.Second)]++
				if !down {
					at += wait
				}
			}
		}
		most := 0
		for _, n := range calls {
			most = max(most, n)
		}
		t.Logf("down %v: %d watchers, at most %d new calls a second", down, watchers, most)
		if most+watchers+DefaultReadBudget > serviceBudget || watchers != DefaultWatchers {
			t.Errorf("down %v: %d new calls and %d waiting in a second, with %d reads above %d", down, most, watchers, DefaultReadBudget, serviceBudget)
		}
	}
}

// All processes start at once and find many files to read.
func TestColdFleetReadsWithinBudget(t *testing.T) {
	const processes = 920
	files := content{}
	for i := range 60 {
		files[fmt.Sprint(i)] = fmt.Sprint(i)
	}
	reads := map[time.Duration]int{}
	for i := range processes {
		s := New(start, Options{Check: check, Rand: rand.New(rand.NewPCG(3, uint64(i)))})
		s.Manifest(start, Service, manifest(1, files))
		s.SetPeers(start, nil, processes)
		for at := time.Duration(0); at < 20*time.Second; at += step {
			actions := s.Tick(start.Add(at))
			for len(actions) > 0 {
				r, ok := actions[0].(ReadFile)
				actions = actions[1:]
				if ok {
					reads[at.Truncate(time.Second)]++
					actions = append(actions, s.FileRead(start.Add(at), r.Name, r.SHA256, []byte(files[r.Name]))...)
				}
			}
		}
	}
	for at, n := range reads {
		// Each watcher may wait in one call and have made another.
		if n+2*DefaultWatchers > serviceBudget {
			t.Errorf("%d reads in the second after %v beside %d watchers", n, at, DefaultWatchers)
		}
	}
}
