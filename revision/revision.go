// Package revision decides which revision of the operators' folder is in force
// in one process.
//
// Revisions come from the configuration service and from peers. They are
// ordered by number; a lower one is ignored whoever offers it. A revision is
// accepted as a whole or not at all, and content is known by its hash, so that
// only changed files are read and a torn read is seen. See
// docs/design/configuration.md.
//
// The package is pure: no goroutine, socket or clock. The caller serialises all
// calls on a State.
package revision

import (
	"time"

	"github.com/goldcrestmux/goldcrestmux/folder"
	"github.com/goldcrestmux/goldcrestmux/platform"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// Defaults of Options.
const (
	DefaultStartupPeers   = 2
	DefaultStartupTimeout = 3 * time.Second
	DefaultAskTimeout     = 500 * time.Millisecond
	// giveUpAfter is the number of ask timeouts without progress after which a
	// candidate is given up.
	giveUpAfter = 10
	// maxAnswerBytes bounds the file content in one answer to a peer; at least
	// one file is always sent.
	maxAnswerBytes = 512 << 10
	// maxRejected is the number of rejected revisions that are remembered.
	maxRejected = 64
)

// Options configures a State. Zero values mean the Default constants.
type Options struct {
	// Check loads and checks a folder. A revision for which it fails is rejected.
	Check func(files []folder.File) (*folder.Merged, error)
	// StartupPeers is the number of peers that a fresh process hears before it
	// is ready.
	StartupPeers int
	// StartupTimeout is how long a fresh process waits for them.
	StartupTimeout time.Duration
	// AskTimeout is how long a source has to deliver before another is asked.
	AskTimeout time.Duration
}

func (o Options) withDefaults() Options {
	if o.StartupPeers == 0 {
		o.StartupPeers = DefaultStartupPeers
	}
	if o.StartupTimeout == 0 {
		o.StartupTimeout = DefaultStartupTimeout
	}
	if o.AskTimeout == 0 {
		o.AskTimeout = DefaultAskTimeout
	}
	return o
}

// SourceService is the source of a revision that the configuration service
// delivered. Other sources are the names of peers.
const SourceService = "service"

// Action is something that the caller of a State has to do: ReadFile, AskPeer,
// InForce, Rejected or Conflict.
type Action interface{ action() }

// ReadFile reads one file from the service; the outcome is told by
// State.FileRead or State.ReadFailed.
type ReadFile struct{ File platform.ManifestFile }

// AskPeer sends an ask to a peer.
type AskPeer struct {
	Peer string
	Ask  wire.FolderAsk
}

// InForce tells that a revision was accepted. Peers are told at once.
type InForce struct {
	Revision uint64
	Source   string
	Folder   *folder.Merged
}

// Rejected tells that a revision is faulty; the last accepted one stays in force.
type Rejected struct {
	Revision uint64
	Source   string
	Err      error
}

// Conflict tells that one revision number stands for two contents.
type Conflict struct {
	Revision uint64
	Source   string
}

func (ReadFile) action() {}
func (AskPeer) action()  {}
func (InForce) action()  {}
func (Rejected) action() {}
func (Conflict) action() {}

// accepted is the revision in force.
type accepted struct {
	revision uint64
	digest   string
	source   string
	at       time.Time
	manifest []platform.ManifestFile
}

// version names a revision's content.
type version struct {
	revision uint64
	digest   string
}

// State is the configuration of one process.
type State struct {
	opts      Options
	start     time.Time
	inForce   *accepted
	candidate *candidate
	rejected  []version
	contents  map[string][]byte // by SHA-256 in hex
	heard     map[string]bool   // peers that told their revision
	peers     int               // peers that may be heard
	stats     Stats
}

// Stats counts what a State has seen.
type Stats struct {
	Accepted  uint64 `json:"accepted"`
	Rejected  uint64 `json:"rejected"`
	Torn      uint64 `json:"torn"`
	Older     uint64 `json:"older"`
	Conflicts uint64 `json:"conflicts"`
}

// New returns the state of a process that started at now and has no revision.
func New(now time.Time, opts Options) *State {
	return &State{
		opts:     opts.withDefaults(),
		start:    now,
		contents: make(map[string][]byte),
		heard:    make(map[string]bool),
	}
}

// SetPeers tells how many peers there are to hear.
func (s *State) SetPeers(n int) { s.peers = n }

// Info describes the revision in force.
type Info struct {
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
	Source   string `json:"source"`
	// Age is the time since the revision was accepted.
	Age   time.Duration `json:"age_ns"`
	Stats Stats         `json:"stats"`
}

// Info returns a description of the revision in force; its Revision is 0 if
// there is none.
func (s *State) Info(now time.Time) Info {
	info := Info{Stats: s.stats}
	if s.inForce != nil {
		info.Revision = s.inForce.revision
		info.Digest = s.inForce.digest
		info.Source = s.inForce.source
		info.Age = now.Sub(s.inForce.at)
	}
	return info
}

// Revision returns the number of the revision in force, or 0.
func (s *State) Revision() uint64 {
	if s.inForce == nil {
		return 0
	}
	return s.inForce.revision
}

// Handled returns the highest revision that needs no further reading: the one
// in force or a newer one that was rejected. A watch waits for a higher one.
func (s *State) Handled() uint64 {
	top := s.Revision()
	for _, v := range s.rejected {
		top = max(top, v.revision)
	}
	return top
}

// Ready reports whether the process may serve: it has a revision in force and
// has heard its peers, and no newer revision that they told of is still to come.
func (s *State) Ready(now time.Time) (ok bool, why string) {
	if s.inForce == nil {
		return false, "no revision of the folder is in force"
	}
	if now.Sub(s.start) >= s.opts.StartupTimeout {
		return true, ""
	}
	if len(s.heard) < min(s.opts.StartupPeers, s.peers) {
		return false, "peers have not told their revision yet"
	}
	if s.candidate != nil {
		return false, "a newer revision of the folder is being read"
	}
	return true, ""
}
