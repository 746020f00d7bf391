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

// Action is what a State requires or reports: ReadFile, SendRequest, Accepted,
// Rejected, Conflict or Offer.
type Action interface{ action() }

// ReadFile requires a read of a file from the configuration service. Its content
// is passed to State.FileRead, a failure to State.ReadFailed.
type ReadFile struct{ Name, SHA256 string }

// SendRequest requires that Request is sent to the peer. The response is passed
// to State.ResponseReceived.
type SendRequest struct {
	Peer    string
	Request wire.FolderRequest
}

// Accepted reports that a revision was accepted. It is in force from now on, in
// place of the one before.
type Accepted struct {
	Revision  uint64
	Digest    string
	Files     []folder.File // sorted by name
	Contracts *folder.Contracts
	Source    Source
}

// Rejected reports, once for each revision, that it is invalid and will never
// be accepted.
type Rejected struct {
	Revision uint64
	Digest   string
	Source   Source
	Err      error
}

// Conflict reports, once for each pair of contents, that two sources give them
// the same revision number, and which one was kept.
type Conflict struct {
	Revision uint64
	Kept     string // digest
	Dropped  string // digest
	Source   Source // of the content that was found second
}

// Offer requires that FolderOffer, which names the revision in force, is sent to
// all peers at once.
type Offer struct{ wire.FolderOffer }

func (ReadFile) action()    {}
func (SendRequest) action() {}
func (Accepted) action()    {}
func (Rejected) action()    {}
func (Conflict) action()    {}
func (Offer) action()       {}

// Source is the origin of a revision.
type Source struct {
	// Peer is the name of the peer, or empty for the configuration service.
	Peer string
}

// Service is the configuration service.
var Service Source

// String returns "service" or the peer's name.
func (s Source) String() string { return cmp.Or(s.Peer, "service") }

// key identifies a revision and its content.
type key struct {
	revision uint64
	digest   string
}

// candidate is a revision that may come into force.
type candidate struct {
	key
	files  []platformapi.ManifestFile // sorted by name
	source Source
	// confirmed is true if the configuration service itself named the content.
	confirmed bool
}

// newCandidate returns the candidate for a manifest, or nil if the manifest is
// malformed.
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
		key:       key{m.Revision, digest(m.Revision, files)},
		files:     files,
		source:    source,
		confirmed: source == Service,
	}
}

// digest returns the SHA-256, in hex, of the revision and the sorted files.
func digest(revision uint64, files []platformapi.ManifestFile) string {
	h := sha256.New()
	h.Write(strconv.AppendUint(nil, revision, 10))
	for _, f := range files {
		h.Write([]byte("\n" + f.Name + "\x00" + f.SHA256))
	}
	return hex.EncodeToString(h.Sum(nil))
}

// hashOf returns the SHA-256 of data, in hex.
func hashOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// supersedes reports whether c replaces other: the higher revision does, else
// the content that the service itself named, else the greater digest.
func (c *candidate) supersedes(other *candidate) bool {
	switch {
	case other == nil:
		return true
	case c.revision != other.revision:
		return c.revision > other.revision
	case c.digest == other.digest:
		return false
	case c.confirmed != other.confirmed:
		return c.confirmed
	default:
		return c.digest > other.digest
	}
}
