package node

import (
	"context"
	"sync"
	"time"

	"github.com/goldcrestmux/goldcrestmux/folder"
	"github.com/goldcrestmux/goldcrestmux/platformapi"
	"github.com/goldcrestmux/goldcrestmux/revision"
	"github.com/goldcrestmux/goldcrestmux/wire"
	"github.com/juju/errors"
)

// Bounds of the reads from the configuration service.
const (
	readWorkers = 2
	readQueue   = 16
	// callTimeout bounds one call that does not wait.
	callTimeout = 2 * time.Second
)

// folders drives the revisions of the operators' folder.
type folders struct {
	node  *Node
	reads chan revision.ReadFile

	mu        sync.Mutex
	state     *revision.State
	pacer     *revision.Pacer
	processes []string // names of all processes of the fleet
	active    int      // index of the service that answered last
	called    bool     // whether the service has been called
	told      uint64   // highest revision that the service has named
	handled   uint64   // highest of these that was rejected

	// putting serialises the calls of Events.Contracts in the order of revisions.
	putting sync.Mutex
}

func newFolders(n *Node, opts revision.Options) *folders {
	return &folders{
		node:  n,
		reads: make(chan revision.ReadFile, readQueue),
		state: revision.New(time.Now(), opts),
		pacer: revision.NewPacer(opts),
	}
}

// errEmptyFolder is the fault of a folder without files: most likely the
// operators' files were lost, and serving nothing is not what they want.
const errEmptyFolder = errors.ConstError("the folder holds no files")

func check(files []folder.File) (*folder.Contracts, error) {
	if len(files) == 0 {
		return nil, errEmptyFolder
	}
	merged, err := folder.Load(files)
	if err != nil {
		return nil, err
	}
	return merged.Contracts, nil
}

// setFleet tells which peers can be asked and which processes share the budget
// of the service.
func (f *folders) setFleet(peers, processes []string) {
	f.mu.Lock()
	f.processes = processes
	f.mu.Unlock()
	f.event(func(now time.Time, s *revision.State) []revision.Action {
		return s.SetPeers(now, peers, len(processes))
	})
}

func (f *folders) ready() (bool, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Ready(time.Now())
}

func (f *folders) offer() wire.FolderOffer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.CurrentOffer()
}

func (f *folders) status() revision.Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Status()
}

func (f *folders) tick() {
	f.event(func(now time.Time, s *revision.State) []revision.Action { return s.Tick(now) })
}

func (f *folders) gap() {
	f.event(func(now time.Time, s *revision.State) []revision.Action { return s.Paused(now) })
}

// frame takes a peer's offer, ask or answer.
func (f *folders) frame(peer string, frame *wire.Frame) {
	if frame.FolderOffer != nil {
		f.event(func(now time.Time, s *revision.State) []revision.Action {
			return s.OfferReceived(now, peer, *frame.FolderOffer)
		})
	}
	if frame.FolderResponse != nil {
		f.event(func(now time.Time, s *revision.State) []revision.Action {
			return s.ResponseReceived(now, peer, *frame.FolderResponse)
		})
	}
	if frame.FolderRequest != nil {
		f.mu.Lock()
		answer := f.state.Respond(*frame.FolderRequest)
		f.mu.Unlock()
		_ = f.node.opts.Links.Send(peer, &wire.Frame{FolderResponse: &answer})
	}
}

// event applies an event and carries out what follows from it.
func (f *folders) event(apply func(now time.Time, s *revision.State) []revision.Action) {
	f.mu.Lock()
	actions := apply(time.Now(), f.state)
	f.mu.Unlock()
	for _, a := range actions {
		f.perform(a)
	}
}

func (f *folders) perform(a revision.Action) {
	log := f.node.opts.Logger
	switch a := a.(type) {
	case revision.ReadFile:
		f.queueRead(a)
	case revision.SendRequest:
		_ = f.node.opts.Links.Send(a.Peer, &wire.Frame{FolderRequest: &a.Request})
	case revision.Accepted:
		f.putInForce(a)
	case revision.Offer:
		f.node.members.announce()
	case revision.Rejected:
		metrics.rejected.Add(1)
		f.noteRejected(a)
		log.Error("folder revision rejected; the last accepted one stays in force",
			"revision", a.Revision, "source", a.Source.String(), "faults", a.Err)
	case revision.Conflict:
		log.Error("one folder revision has two contents",
			"revision", a.Revision, "kept", a.Kept, "dropped", a.Dropped, "source", a.Source.String())
	}
}

// noteRejected keeps the watch from being answered with a rejected revision.
func (f *folders) noteRejected(a revision.Rejected) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a.Source.Peer == "" {
		f.handled = max(f.handled, a.Revision)
	}
}

// queueRead hands a read to the workers. One that finds no room is dropped: the
// state machine gives it up and asks again.
func (f *folders) queueRead(a revision.ReadFile) {
	select {
	case f.reads <- a:
	default:
	}
}

// putInForce tells the role of a revision, unless a newer one has come into
// force meanwhile.
func (f *folders) putInForce(a revision.Accepted) {
	f.putting.Lock()
	defer f.putting.Unlock()
	if a.Revision < f.status().Revision {
		return
	}
	f.node.opts.Logger.Info("folder in force", "revision", a.Revision, "source", a.Source.String())
	metrics.revision.Set(int64(a.Revision))
	if a.Source.Peer != "" {
		metrics.fromPeers.Add(1)
	}
	f.node.members.setRevision(a.Revision)
	if f.node.opts.Events.Contracts != nil {
		f.node.opts.Events.Contracts(a.Contracts)
	}
}

// follow watches or polls the configuration service, one call at a time.
func (f *folders) follow() error {
	ctx := f.node.tomb.Context(context.Background())
	failed := false
	for ctx.Err() == nil {
		pause, wait, after := f.nextCall(failed)
		f.node.sleep(pause)
		failed = ctx.Err() == nil && f.call(ctx, wait, after) != nil
	}
	return nil
}

// nextCall returns the pause before the next call, how long it waits, and the
// revision above which it is answered.
func (f *folders) nextCall(failed bool) (pause, wait time.Duration, after uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if failed {
		f.active = (f.active + 1) % len(f.node.opts.Folders)
	}
	after = max(f.state.Status().Revision, f.handled)
	if !f.called {
		f.called = true
		return 0, 0, after
	}
	watch := f.pacer.Watches(f.node.opts.Self.Name(), f.processes)
	pause, wait = f.pacer.Next(watch, failed)
	return pause, wait, after
}

// errNoProgress tells that the service names a revision again that has not been
// read in whole yet. It spaces the calls; the state machine repeats the reads.
const errNoProgress = errors.ConstError("the revision has not been read yet")

// call asks the service once for a revision above after.
func (f *folders) call(ctx context.Context, wait time.Duration, after uint64) error {
	metrics.serviceCalls.Add(1)
	manifest, changed, err := f.service().Watch(ctx, after, wait)
	if err != nil {
		metrics.serviceErrors.Add(1)
		f.node.opts.Logger.Warn("configuration service can't be read", "error", err)
		return err
	}
	if !changed {
		return nil
	}
	f.mu.Lock()
	again := manifest.Revision == f.told
	f.told = max(f.told, manifest.Revision)
	f.mu.Unlock()
	f.event(func(now time.Time, s *revision.State) []revision.Action {
		return s.ManifestReceived(now, revision.Source{}, manifest)
	})
	if again {
		return errNoProgress
	}
	return nil
}

func (f *folders) service() *platformapi.ConfigClient {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.node.opts.Folders[f.active]
}

// read reads files for the state machine until the node stops.
func (f *folders) read() error {
	ctx := f.node.tomb.Context(context.Background())
	for {
		select {
		case <-f.node.tomb.Dying():
			return nil
		case a := <-f.reads:
			f.readFile(ctx, a)
		}
	}
}

func (f *folders) readFile(ctx context.Context, a revision.ReadFile) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	metrics.serviceCalls.Add(1)
	data, err := f.service().File(ctx, platformapi.ManifestFile{Name: a.Name, SHA256: a.SHA256})
	if err != nil {
		metrics.serviceErrors.Add(1)
		f.node.opts.Logger.Warn("folder file can't be read", "file", a.Name, "error", err)
		f.event(func(now time.Time, s *revision.State) []revision.Action { return s.ReadFailed(now, a.Name, a.SHA256) })
		return
	}
	f.event(func(now time.Time, s *revision.State) []revision.Action {
		return s.FileRead(now, a.Name, a.SHA256, data)
	})
}
