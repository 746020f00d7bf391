package revision

import (
	"slices"
	"time"

	"github.com/goldcrestmux/goldcrestmux/folder"
	"github.com/goldcrestmux/goldcrestmux/platform"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// Offer returns what to tell peers of the revision in force. Its Revision is 0
// if there is none.
func (s *State) Offer() wire.FolderOffer {
	if s.inForce == nil {
		return wire.FolderOffer{}
	}
	return wire.FolderOffer{Revision: s.inForce.revision, Digest: s.inForce.digest}
}

// Offered takes what a peer tells of its revision.
func (s *State) Offered(now time.Time, peer string, o wire.FolderOffer) []Action {
	s.heard[peer] = true
	v := version{revision: o.Revision, digest: o.Digest}
	if o.Revision == 0 || !s.wanted(v, false) {
		return nil
	}
	out := s.conflict(v, peer)
	c := s.consider(now, v)
	if !slices.Contains(c.sources, peer) {
		c.sources = append(c.sources, peer)
	}
	if c.from != "" {
		return out
	}
	c.from = peer
	c.asked = now
	return append(out, s.collect(now)...)
}

// Asked answers a peer's ask; ok is false if the revision asked for is not the
// one in force here. Contents that the peer has are left out, and so are those
// beyond the bound of one answer: the peer then asks again.
func (s *State) Asked(ask wire.FolderAsk) (answer wire.FolderAnswer, ok bool) {
	if s.inForce == nil || s.inForce.revision != ask.Revision {
		return wire.FolderAnswer{}, false
	}
	answer.Revision = ask.Revision
	size := 0
	for _, f := range s.inForce.manifest {
		file := wire.FolderFile{Name: f.Name, SHA256: f.SHA256}
		data := s.contents[f.SHA256]
		if !slices.Contains(ask.Have, f.SHA256) && (size == 0 || size+len(data) <= maxAnswerBytes) {
			file.Data = data
			size += len(data)
		}
		answer.Files = append(answer.Files, file)
	}
	return answer, true
}

// Answered takes a peer's answer to an ask. Content that doesn't match its hash
// is dropped, and so is a manifest that doesn't match the offer.
func (s *State) Answered(now time.Time, peer string, a wire.FolderAnswer) []Action {
	c := s.candidate
	if c == nil || c.revision != a.Revision || c.from != peer {
		return nil
	}
	manifest := manifestOf(a)
	if digestOf(manifest) != c.digest {
		return s.nextSource(now)
	}
	c.manifest = manifest
	if !s.take(a.Files) && len(s.missing(c)) > 0 {
		return s.nextSource(now)
	}
	c.asked = now
	c.progress = now
	return s.collect(now)
}

func manifestOf(a wire.FolderAnswer) []platform.ManifestFile {
	out := make([]platform.ManifestFile, len(a.Files))
	for i, f := range a.Files {
		out[i] = platform.ManifestFile{Name: f.Name, SHA256: f.SHA256}
	}
	return out
}

// take keeps the contents that match their hashes and reports whether one of
// them was new.
func (s *State) take(files []wire.FolderFile) bool {
	progress := false
	for _, f := range files {
		if !s.needs(f.SHA256) || folder.HashFile(f.Data) != f.SHA256 {
			continue
		}
		s.contents[f.SHA256] = f.Data
		progress = true
	}
	return progress
}
