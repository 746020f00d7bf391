package revision

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/folder"
	"github.com/goldcrestmux/goldcrestmux/platform"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

var epoch = time.Unix(1000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// check rejects a folder of which a file says so.
func check(files []folder.File) (*folder.Merged, error) {
	for _, f := range files {
		if bytes.Contains(f.Data, []byte("faulty")) {
			return nil, errors.New(f.Name + " is faulty")
		}
	}
	return &folder.Merged{}, nil
}

// service is a folder with a revision, as the configuration service serves it.
type service struct {
	revision uint64
	files    map[string]string
}

func (v *service) put(name, data string) {
	if v.files == nil {
		v.files = make(map[string]string)
	}
	v.files[name] = data
	v.revision++
}

func (v *service) manifest() platform.Manifest {
	m := platform.Manifest{Revision: v.revision}
	for name, data := range v.files {
		m.Files = append(m.Files, platform.ManifestFile{Name: name, SHA256: folder.HashFile([]byte(data))})
	}
	return m
}

// process is a State whose actions are carried out at once.
type process struct {
	name  string
	state *State
	peers map[string]*process
	reads int
	log   []Action
}

func newProcess(name string) *process {
	return &process{name: name, state: New(at(0), Options{Check: check}), peers: make(map[string]*process)}
}

func (p *process) perform(now time.Time, v *service, actions []Action) {
	p.log = append(p.log, actions...)
	for _, a := range actions {
		switch a := a.(type) {
		case ReadFile:
			p.reads++
			p.perform(now, v, p.state.FileRead(now, a.File, []byte(v.files[a.File.Name])))
		case AskPeer:
			if peer := p.peers[a.Peer]; peer != nil {
				if answer, ok := peer.state.Asked(a.Ask); ok {
					p.perform(now, v, p.state.Answered(now, a.Peer, answer))
				}
			}
		}
	}
}

func (p *process) read(now time.Time, v *service) {
	p.perform(now, v, p.state.Manifest(now, v.manifest()))
}

func (p *process) hear(now time.Time, peer *process) {
	p.peers[peer.name] = peer
	p.perform(now, nil, p.state.Offered(now, peer.name, peer.state.Offer()))
}

func (p *process) expect(t *testing.T, revision uint64, source string) {
	t.Helper()
	info := p.state.Info(at(0))
	if info.Revision != revision || info.Source != source {
		t.Fatalf("%s has revision %d from %q, want %d from %q", p.name, info.Revision, info.Source, revision, source)
	}
}

func TestTwoOperatorsWriteAtOnceAndEveryProcessEndsAlike(t *testing.T) {
	v := &service{}
	v.put("10-a", "a1")
	early, late, cut := newProcess("early"), newProcess("late"), newProcess("cut")
	for _, p := range []*process{early, late, cut} {
		p.read(at(1), v)
	}
	v.put("20-first-operator", "x")
	early.read(at(2), v)
	v.put("30-second-operator", "y")
	early.read(at(3), v)
	late.read(at(3), v)
	cut.hear(at(4), early)
	early.expect(t, 3, SourceService)
	late.expect(t, 3, SourceService)
	cut.expect(t, 3, "early")
	if d := early.state.Offer().Digest; d != late.state.Offer().Digest || d != cut.state.Offer().Digest {
		t.Fatal("processes ended with different contents")
	}
	if early.reads != 3 {
		t.Fatalf("read %d files, want each file once", early.reads)
	}
}

func TestAcceptedRevisionNeverReverts(t *testing.T) {
	old := &service{}
	old.put("a", "1")
	v := &service{revision: 1}
	v.put("a", "2")
	p, stale := newProcess("p"), newProcess("stale")
	stale.read(at(0), old)
	p.read(at(1), v)
	p.read(at(2), old)
	p.hear(at(3), stale)
	p.expect(t, 2, SourceService)
}

func TestFaultyRevisionIsRejectedOnceAndTheLastOneStays(t *testing.T) {
	v := &service{}
	v.put("a", "good")
	p := newProcess("p")
	p.read(at(1), v)
	v.put("b", "faulty")
	p.read(at(2), v)
	p.read(at(3), v)
	p.expect(t, 1, SourceService)
	rejections := 0
	for _, a := range p.log {
		if _, ok := a.(Rejected); ok {
			rejections++
		}
	}
	if rejections != 1 || p.state.Handled() != 2 {
		t.Fatalf("rejected %d times, handled up to %d; want once, 2", rejections, p.state.Handled())
	}
	v.put("b", "mended")
	p.read(at(4), v)
	p.expect(t, 3, SourceService)
}

func TestTornReadIsSeenAndPeersHelp(t *testing.T) {
	v := &service{}
	v.put("a", "1")
	p, peer := newProcess("p"), newProcess("peer")
	p.read(at(0), v)
	peer.read(at(0), v)
	v.put("a", "2")
	peer.read(at(1), v)
	actions := p.state.Manifest(at(2), v.manifest())
	torn := p.state.FileRead(at(3), actions[0].(ReadFile).File, []byte("1"))
	if len(torn) != 0 || p.state.Info(at(3)).Stats.Torn != 1 {
		t.Fatalf("actions %v, %d torn reads; want none and 1", torn, p.state.Info(at(3)).Stats.Torn)
	}
	p.expect(t, 1, SourceService)
	p.hear(at(4), peer)
	p.perform(at(600), v, p.state.Tick(at(600)))
	p.expect(t, 2, "peer")
}

func TestForgedContentOfAPeerIsDropped(t *testing.T) {
	v := &service{}
	v.put("a", "1")
	p := newProcess("p")
	actions := p.state.Offered(at(0), "peer", wire.FolderOffer{Revision: 1, Digest: digestOf(v.manifest().Files)})
	if len(actions) != 1 {
		t.Fatalf("actions %v, want an ask", actions)
	}
	answer := wire.FolderAnswer{Revision: 1, Files: []wire.FolderFile{
		{Name: "a", SHA256: folder.HashFile([]byte("1")), Data: []byte("other")},
	}}
	p.state.Answered(at(1), "peer", answer)
	if p.state.Revision() != 0 {
		t.Fatal("content that doesn't match its hash came into force")
	}
}

func TestUndeliveredCandidateDoesNotBlockALowerOne(t *testing.T) {
	v := &service{}
	v.put("a", "1")
	p := newProcess("p")
	p.state.Offered(at(0), "gone", wire.FolderOffer{Revision: 99, Digest: "d"})
	for ms := 500; ms <= 6000; ms += 500 {
		p.state.Tick(at(ms))
	}
	p.read(at(6001), v)
	p.expect(t, 1, SourceService)
}

func TestFreshProcessHearsPeersBeforeItIsReady(t *testing.T) {
	v := &service{}
	v.put("a", "1")
	p, peer := newProcess("p"), newProcess("peer")
	p.state.SetPeers(1)
	p.read(at(1), v)
	if ok, _ := p.state.Ready(at(2)); ok {
		t.Fatal("ready before a peer was heard")
	}
	v.put("a", "2")
	peer.read(at(2), v)
	p.hear(at(3), peer)
	if ok, why := p.state.Ready(at(4)); !ok {
		t.Fatalf("not ready: %s", why)
	}
	p.expect(t, 2, "peer")
}

func TestServiceWinsOverPeersForOneNumber(t *testing.T) {
	a, b := &service{}, &service{}
	a.put("a", "1")
	b.put("a", "2")
	p, peer := newProcess("p"), newProcess("peer")
	peer.read(at(0), b)
	p.hear(at(1), peer)
	p.read(at(2), a)
	p.expect(t, 1, SourceService)
	p.hear(at(3), peer)
	p.expect(t, 1, SourceService)
	if n := p.state.Info(at(3)).Stats.Conflicts; n == 0 {
		t.Fatal("two contents of one number were not reported")
	}
}

func TestPaceBoundsCalls(t *testing.T) {
	p := NewPace(rand.New(rand.NewPCG(1, 1)))
	for range 100 {
		if w := p.Watch(); w < MinWatch || w > MaxWatch {
			t.Fatalf("watch waits %v", w)
		}
	}
	var total time.Duration
	for range 20 {
		total += p.Failed()
	}
	if total < 60*time.Second {
		t.Fatalf("20 failed calls within %v, want at least a minute", total)
	}
}
