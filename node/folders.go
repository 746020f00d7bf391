package node

import (
	"context"
	"sync"
	"time"

	"github.com/goldcrestmux/goldcrestmux/platform"
	"github.com/goldcrestmux/goldcrestmux/revision"
	"github.com/goldcrestmux/goldcrestmux/wire"
	"github.com/juju/errors"
)

// folders drives the revisions of the operators' folder.
type folders struct {
	node *Node

	mu    sync.Mutex
	state *revision.State
	pace  *revision.Pace

	// inForce serialises the calls of Events.Contracts in the order of revisions.
	inForce sync.Mutex
}

func (f *folders) setFleet(peers, processes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.SetPeers(peers)
	f.pace.SetReaders(processes)
}

func (f *folders) ready() (bool, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Ready(time.Now())
}

func (f *folders) offer() wire.FolderOffer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Offer()
}

func (f *folders) revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Revision()
}

func (f *folders) tick(now time.Time) {
	f.event(func(s *revision.State) []revision.Action { return s.Tick(now) })
}

// frame takes a peer's offer, ask or answer.
func (f *folders) frame(peer string, frame *wire.Frame) {
	now := time.Now()
	if frame.Offer != nil {
		f.event(func(s *revision.State) []revision.Action { return s.Offered(now, peer, *frame.Offer) })
	}
	if frame.FolderAnswer != nil {
		f.event(func(s *revision.State) []revision.Action { return s.Answered(now, peer, *frame.FolderAnswer) })
	}
	if frame.FolderAsk == nil {
		return
	}
	f.mu.Lock()
	answer, ok := f.state.Asked(*frame.FolderAsk)
	f.mu.Unlock()
	if ok {
		_ = f.node.opts.Links.Send(peer, &wire.Frame{FolderAnswer: &answer})
	}
}

// event applies an event and carries out what follows from it. Files to be read
// from the service are returned.
func (f *folders) event(apply func(*revision.State) []revision.Action) (reads []platform.ManifestFile) {
	f.mu.Lock()
	actions := apply(f.state)
	f.mu.Unlock()
	for _, a := range actions {
		switch a := a.(type) {
		case revision.ReadFile:
			reads = append(reads, a.File)
		case revision.AskPeer:
			_ = f.node.opts.Links.Send(a.Peer, &wire.Frame{FolderAsk: &a.Ask})
		case revision.InForce:
			f.putInForce(a)
		case revision.Rejected:
			metrics.rejected.Add(1)
			f.node.opts.Logger.Error("folder revision rejected; the last accepted one stays in force",
				"revision", a.Revision, "source", a.Source, "error", a.Err)
		case revision.Conflict:
			f.node.opts.Logger.Error("one folder revision has two contents", "revision", a.Revision, "source", a.Source)
		}
	}
	return reads
}

// putInForce tells the role and the peers of a revision, unless a newer one has
// come into force meanwhile.
func (f *folders) putInForce(a revision.InForce) {
	f.inForce.Lock()
	defer f.inForce.Unlock()
	if a.Revision < f.revision() {
		return
	}
	f.node.opts.Logger.Info("folder in force", "revision", a.Revision, "source", a.Source)
	metrics.revision.Set(int64(a.Revision))
	if a.Source != revision.SourceService {
		metrics.fromPeers.Add(1)
	}
	if f.node.opts.Events.Contracts != nil {
		f.node.opts.Events.Contracts(a.Folder.Contracts)
	}
	f.node.members.announce(time.Now())
}

// follow watches the configuration service, one call at a time.
func (f *folders) follow() error {
	ctx := f.node.tomb.Context(context.Background())
	for attempt := 0; ctx.Err() == nil; attempt++ {
		config := f.node.opts.Folders[attempt%len(f.node.opts.Folders)]
		err := f.watch(ctx, config)
		for err == nil && ctx.Err() == nil {
			err = f.watch(ctx, config)
		}
		if ctx.Err() != nil {
			return nil
		}
		metrics.serviceErrors.Add(1)
		f.mu.Lock()
		pause := f.pace.Failed()
		f.mu.Unlock()
		f.node.opts.Logger.Warn("configuration service can't be read", "error", err, "retry_in", pause)
		f.node.sleep(pause)
	}
	return nil
}

// errNoProgress tells that the service offers a revision that can't be read.
const errNoProgress = errors.ConstError("the revision could not be read in whole")

// watch waits for a newer revision once and reads it.
func (f *folders) watch(ctx context.Context, config *platform.Config) error {
	f.mu.Lock()
	after := f.state.Handled()
	wait := f.pace.Watch()
	f.mu.Unlock()
	if after == 0 {
		wait = 0
	}
	metrics.serviceCalls.Add(1)
	manifest, changed, err := config.Watch(ctx, after, wait)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.pace.Succeeded()
	spread := f.pace.Spread()
	f.mu.Unlock()
	if !changed {
		return f.idle(after)
	}
	if after > 0 {
		f.node.sleep(spread)
	}
	return f.read(ctx, config, manifest)
}

// idle returns an error that spaces the calls if a service without any
// revision answers at once.
func (f *folders) idle(after uint64) error {
	if after == 0 {
		return errNoProgress
	}
	return nil
}

// read reads the files of a manifest that are not held yet.
func (f *folders) read(ctx context.Context, config *platform.Config, manifest platform.Manifest) error {
	reads := f.event(func(s *revision.State) []revision.Action { return s.Manifest(time.Now(), manifest) })
	for _, file := range reads {
		metrics.serviceCalls.Add(1)
		data, err := config.File(ctx, file)
		if err != nil {
			var torn *platform.TornReadError
			isTorn := errors.As(err, &torn)
			f.event(func(s *revision.State) []revision.Action { return s.ReadFailed(time.Now(), file, isTorn) })
			return err
		}
		f.event(func(s *revision.State) []revision.Action { return s.FileRead(time.Now(), file, data) })
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state.Handled() < manifest.Revision {
		return errNoProgress
	}
	return nil
}
