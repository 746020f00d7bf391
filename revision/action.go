package revision

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strconv"

	"github.com/goldcrestmux/goldcrestmux/folder"
	"github.com/goldcrestmux/goldcrestmux/platformapi"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// Action is what the driver must do: ReadFile, AskPeer, InForce, Rejected,
// Conflict or Offer.
type Action interface{ action() }

// ReadFile asks to read a file from the configuration service and to hand its
// content to FileRead, or the failure to ReadFailed.
type ReadFile struct{ Name, SHA256 string }

// SendRequest asks to send Ask to the peer.
type SendRequest struct {
	Peer    string
	Request wire.FolderRequest
}

// Accepted tells that a revision was accepted and replaces the one before.
type Accepted struct {
	Revision  uint64
	Digest    string
	Files     []folder.File // sorted by name
	Contracts *folder.Contracts
	Source    Source
}

// Rejected tells, once for each, that a revision was found faulty and will
// never be adopted.
type Rejected struct {
	Revision uint64
	Digest   string
	Source   Source
	Err      error
}

// Conflict tells, once for each, that two sources give one revision number to
// different contents, and which was kept.
type Conflict struct {
	Revision uint64
	Kept     string // digest
	Dropped  string // digest
	Source   Source // of the second
}

// Offer asks to tell all peers at once which revision is in force.
type Offer struct{ wire.FolderOffer }

func (ReadFile) action()    {}
func (SendRequest) action() {}
func (Accepted) action()    {}
func (Rejected) action()    {}
func (Conflict) action()    {}
func (Offer) action()       {}

// Source tells where a revision came from.
type Source struct {
	// Peer names the peer; empty for the configuration service.
	Peer string
}

// Service is the configuration service as a source.
var Service Source

// String returns "service" or the peer's name.
func (s Source) String() string { return cmp.Or(s.Peer, "service") }

// key names the content of a revision.
type key struct {
	revision uint64
	digest   string
}

// candidate is a revision that may come into force.
type candidate struct {
	key
	files  []platformapi.ManifestFile // sorted by name
	source Source
	// service is true if the configuration service itself named the content.
	service bool
}

// newCandidate returns nil if the manifest is malformed.
func newCandidate(m *platformapi.Manifest, source Source) *candidate {
	files := slices.Clone(m.Files)
	slices.SortFunc(files, func(a, b platformapi.ManifestFile) int { return cmp.Compare(a.Name, b.Name) })
	if m.Revision == 0 {
		return nil
	}
	for i, f := range files {
		hash, err := hex.DecodeString(f.SHA256)
		if err != nil || len(hash) != sha256.Size || f.Name == "" || (i > 0 && files[i-1].Name == f.Name) {
			return nil
		}
	}
	return &candidate{
		key:     key{m.Revision, digest(m.Revision, files)},
		files:   files,
		source:  source,
		service: source == Service,
	}
}

// digest returns the SHA-256, in hex, over the revision and the sorted files.
func digest(revision uint64, files []platformapi.ManifestFile) string {
	h := sha256.New()
	h.Write(strconv.AppendUint(nil, revision, 10))
	for _, f := range files {
		h.Write([]byte("\n" + f.Name + "\x00" + f.SHA256))
	}
	return hex.EncodeToString(h.Sum(nil))
}

func hashOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// beats tells whether c replaces other: the higher revision, else the content
// that the service itself named, else the greater digest.
func (c *candidate) beats(other *candidate) bool {
	switch {
	case other == nil:
		return true
	case c.revision != other.revision:
		return c.revision > other.revision
	case c.digest == other.digest:
		return false
	case c.service != other.service:
		return c.service
	default:
		return c.digest > other.digest
	}
}
