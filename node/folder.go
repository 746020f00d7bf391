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

// Limits of the reads from the configuration service.
const (
	readWorkers = 2
	readQueue   = 16
	// fileReadTimeout bounds the read of one file.
	fileReadTimeout = 2 * time.Second
)

// folderDriver drives the state machine of the operators' folder.
type folderDriver struct {
	node  *Node
	reads chan revision.ReadFile

	mu              sync.Mutex
	state           *revision.State
	pacer           *revision.Pacer
	processes       []string // names of all processes of the fleet
	activeIndex     int      // index in Options.ConfigClients of the client in use
	started         bool     // whether the first call has been scheduled
	highestKnown    uint64   // highest revision in a manifest of the service
	highestRejected uint64   // highest revision of the service that was rejected

	// contractsMu serialises the calls of Events.Contracts, in the order of revisions.
	contractsMu sync.Mutex
}

func newFolderDriver(n *Node, opts revision.Options) *folderDriver {
	return &folderDriver{
		node:  n,
		reads: make(chan revision.ReadFile, readQueue),
		state: revision.New(time.Now(), opts),
		pacer: revision.NewPacer(opts),
	}
}

// errEmptyFolder rejects a folder without files. Most likely the operators'
// files were lost, and the processes must not stop serving because of that.
const errEmptyFolder = errors.ConstError("the folder holds no files")

func validate(files []folder.File) (*folder.Contracts, error) {
	if len(files) == 0 {
		return nil, errEmptyFolder
	}
	merged, err := folder.Load(files)
	if err != nil {
		return nil, err
	}
	return merged.Contracts, nil
}

// setFleet sets the peers that requests can be sent to, and the processes that
// share the request budget of the configuration service.
func (f *folderDriver) setFleet(peers, processes []string) {
	f.mu.Lock()
	f.processes = processes
	f.mu.Unlock()
	f.apply(func(now time.Time, s *revision.State) []revision.Action {
		return s.SetPeers(now, peers, len(processes))
	})
}

func (f *folderDriver) ready() (bool, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Ready(time.Now())
}

func (f *folderDriver) offer() wire.FolderOffer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.CurrentOffer()
}

func (f *folderDriver) status() revision.Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Status()
}

func (f *folderDriver) tick() {
	f.apply(func(now time.Time, s *revision.State) []revision.Action { return s.Tick(now) })
}

func (f *folderDriver) handlePause() {
	f.apply(func(now time.Time, s *revision.State) []revision.Action { return s.Paused(now) })
}

// receiveFrame handles a peer's offer, request or response.
func (f *folderDriver) receiveFrame(peer string, frame *wire.Frame) {
	if frame.FolderOffer != nil {
		f.apply(func(now time.Time, s *revision.State) []revision.Action {
			return s.OfferReceived(now, peer, *frame.FolderOffer)
		})
	}
	if frame.FolderResponse != nil {
		f.apply(func(now time.Time, s *revision.State) []revision.Action {
			return s.ResponseReceived(now, peer, *frame.FolderResponse)
		})
	}
	if frame.FolderRequest != nil {
		f.mu.Lock()
		response := f.state.Respond(*frame.FolderRequest)
		f.mu.Unlock()
		_ = f.node.opts.Links.Send(peer, &wire.Frame{FolderResponse: &response})
	}
}

// apply applies an event to the state machine and performs the actions that it
// returns.
func (f *folderDriver) apply(event func(now time.Time, s *revision.State) []revision.Action) {
	f.mu.Lock()
	actions := event(time.Now(), f.state)
	f.mu.Unlock()
	for _, a := range actions {
		f.perform(a)
	}
}

func (f *folderDriver) perform(a revision.Action) {
	log := f.node.opts.Logger
	switch a := a.(type) {
	case revision.ReadFile:
		f.queueRead(a)
	case revision.SendRequest:
		_ = f.node.opts.Links.Send(a.Peer, &wire.Frame{FolderRequest: &a.Request})
	case revision.Accepted:
		f.notifyAccepted(a)
	case revision.Offer:
		f.node.members.announceRevision()
	case revision.Rejected:
		metrics.rejected.Add(1)
		f.recordRejected(a)
		log.Error("folder revision rejected; keeping the last accepted one",
			"revision", a.Revision, "source", a.Source.String(), "faults", a.Err)
	case revision.Conflict:
		log.Error("folder revision has two different contents",
			"revision", a.Revision, "kept", a.Kept, "dropped", a.Dropped, "source", a.Source.String())
	}
}

// recordRejected records a revision of the service that was rejected, so that the
// next watch waits for a higher one.
func (f *folderDriver) recordRejected(a revision.Rejected) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a.Source.Peer == "" {
		f.highestRejected = max(f.highestRejected, a.Revision)
	}
}

// queueRead passes a read to the workers. If the queue is full the read is
// dropped: the state machine times it out and requests it again.
func (f *folderDriver) queueRead(a revision.ReadFile) {
	select {
	case f.reads <- a:
	default:
	}
}

// notifyAccepted passes the contracts of an accepted revision to Events.Contracts,
// unless a newer revision has come into force in the meantime.
func (f *folderDriver) notifyAccepted(a revision.Accepted) {
	f.contractsMu.Lock()
	defer f.contractsMu.Unlock()
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

// follow watches or polls the configuration service until the node stops, one
// call at a time.
func (f *folderDriver) follow() error {
	ctx := f.node.tomb.Context(context.Background())
	failed := false
	for ctx.Err() == nil {
		delay, wait, after := f.nextCall(failed)
		f.node.sleep(delay)
		failed = ctx.Err() == nil && f.readManifest(ctx, wait, after) != nil
	}
	return nil
}

// nextCall returns the delay before the next call, how long the service holds
// that call, and the revision above which the service responds at once.
func (f *folderDriver) nextCall(failed bool) (delay, wait time.Duration, after uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if failed {
		f.activeIndex = (f.activeIndex + 1) % len(f.node.opts.ConfigClients)
	}
	after = max(f.state.Status().Revision, f.highestRejected)
	if !f.started {
		f.started = true
		return 0, 0, after
	}
	watch := f.pacer.Watches(f.node.opts.Self.Name(), f.processes)
	delay, wait = f.pacer.Next(watch, failed)
	return delay, wait, after
}

// errNoProgress means that the service returned the same revision again, because
// not all of its files have been read yet. As a failed call it delays the next
// one; the state machine repeats the reads.
const errNoProgress = errors.ConstError("the revision has not been read yet")

// readManifest requests the manifest once. The service holds the call for at most
// wait if there is no revision above after.
func (f *folderDriver) readManifest(ctx context.Context, wait time.Duration, after uint64) error {
	metrics.serviceCalls.Add(1)
	manifest, changed, err := f.activeClient().Watch(ctx, after, wait)
	if err != nil {
		metrics.serviceErrors.Add(1)
		f.node.opts.Logger.Warn("reading the folder manifest failed; trying the next configuration service", "error", err)
		return err
	}
	if !changed {
		return nil
	}
	f.mu.Lock()
	repeated := manifest.Revision == f.highestKnown
	f.highestKnown = max(f.highestKnown, manifest.Revision)
	f.mu.Unlock()
	f.apply(func(now time.Time, s *revision.State) []revision.Action {
		return s.ManifestReceived(now, revision.Source{}, manifest)
	})
	if repeated {
		return errNoProgress
	}
	return nil
}

func (f *folderDriver) activeClient() *platformapi.ConfigClient {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.node.opts.ConfigClients[f.activeIndex]
}

// runReader reads files for the state machine until the node stops.
func (f *folderDriver) runReader() error {
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

func (f *folderDriver) readFile(ctx context.Context, a revision.ReadFile) {
	ctx, cancel := context.WithTimeout(ctx, fileReadTimeout)
	defer cancel()
	metrics.serviceCalls.Add(1)
	data, err := f.activeClient().File(ctx, platformapi.ManifestFile{Name: a.Name, SHA256: a.SHA256})
	if err != nil {
		metrics.serviceErrors.Add(1)
		f.node.opts.Logger.Warn("reading a folder file failed", "file", a.Name, "error", err)
		f.apply(func(now time.Time, s *revision.State) []revision.Action { return s.ReadFailed(now, a.Name, a.SHA256) })
		return
	}
	f.apply(func(now time.Time, s *revision.State) []revision.Action {
		return s.FileRead(now, a.Name, a.SHA256, data)
	})
}
