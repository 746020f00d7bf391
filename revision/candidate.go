package revision

import (
	"slices"
	"time"

	"github.com/goldcrestmux/goldcrestmux/folder"
	"github.com/goldcrestmux/goldcrestmux/platform"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// candidate is a revision that is being collected.
type candidate struct {
	version
	manifest []platform.ManifestFile // nil until known
	// sources are the peers that offered it, in order of their offers.
	sources []string
	service bool
	// from is the source that was asked last, at asked.
	from  string
	asked time.Time
	// progress is when the last content arrived.
	progress time.Time
}

// Manifest takes the service's answer.
func (s *State) Manifest(now time.Time, m platform.Manifest) []Action {
	v := version{revision: m.Revision, digest: digestOf(m.Files)}
	if !s.wanted(v, true) {
		return nil
	}
	out := s.conflict(v, SourceService)
	c := s.consider(now, v)
	c.manifest = m.Files
	c.service = true
	c.from = SourceService
	c.asked = now
	return append(out, s.collect(now)...)
}

func digestOf(files []platform.ManifestFile) string {
	hashes := make([]folder.FileHash, len(files))
	for i, f := range files {
		hashes[i] = folder.FileHash{Name: f.Name, SHA256: f.SHA256}
	}
	return folder.DigestHashes(hashes)
}

// wanted reports whether a version should replace the one in force and any
// candidate. For one number with two contents the service wins over peers, and
// between peers the greater digest.
func (s *State) wanted(v version, service bool) bool {
	if slices.Contains(s.rejected, v) {
		return false
	}
	if s.inForce != nil && !supersedes(v, version{s.inForce.revision, s.inForce.digest}, service, s.inForce.source == SourceService) {
		if v.revision < s.inForce.revision {
			s.stats.Older++
		}
		return false
	}
	c := s.candidate
	return c == nil || c.version == v || supersedes(v, c.version, service, c.service)
}

func supersedes(v, old version, service, oldService bool) bool {
	if v.revision != old.revision || v.digest == old.digest {
		return v.revision > old.revision
	}
	if service != oldService {
		return service
	}
	return !service && v.digest > old.digest
}

// conflict reports a second content for the number in force.
func (s *State) conflict(v version, source string) []Action {
	if s.inForce == nil || v.revision != s.inForce.revision {
		return nil
	}
	s.stats.Conflicts++
	return []Action{Conflict{Revision: v.revision, Source: source}}
}

// consider makes v the candidate and returns it.
func (s *State) consider(now time.Time, v version) *candidate {
	if s.candidate == nil || s.candidate.version != v {
		s.candidate = &candidate{version: v, progress: now}
	}
	return s.candidate
}

// collect asks for what the candidate lacks, or accepts it.
func (s *State) collect(now time.Time) []Action {
	c := s.candidate
	missing := s.missing(c)
	if c.manifest != nil && len(missing) == 0 {
		return s.decide(now)
	}
	if c.from != SourceService {
		return []Action{AskPeer{Peer: c.from, Ask: wire.FolderAsk{Revision: c.revision, Have: s.have()}}}
	}
	out := make([]Action, len(missing))
	for i, f := range missing {
		out[i] = ReadFile{File: f}
	}
	return out
}

func (s *State) missing(c *candidate) []platform.ManifestFile {
	var out []platform.ManifestFile
	for _, f := range c.manifest {
		if _, ok := s.contents[f.SHA256]; !ok {
			out = append(out, f)
		}
	}
	return out
}

// have lists the contents that this process holds, in a fixed order.
func (s *State) have() []string {
	out := make([]string, 0, len(s.contents))
	for sha := range s.contents {
		out = append(out, sha)
	}
	slices.Sort(out)
	return out
}

// decide checks the complete candidate and accepts or rejects it as a whole.
func (s *State) decide(now time.Time) []Action {
	c := s.candidate
	s.candidate = nil
	files := make([]folder.File, len(c.manifest))
	for i, f := range c.manifest {
		files[i] = folder.File{Name: f.Name, Data: s.contents[f.SHA256]}
	}
	merged, err := s.opts.Check(files)
	if err != nil {
		s.reject(c.version)
		s.prune()
		return []Action{Rejected{Revision: c.revision, Source: c.from, Err: err}}
	}
	s.stats.Accepted++
	s.inForce = &accepted{revision: c.revision, digest: c.digest, source: c.from, at: now, manifest: c.manifest}
	s.prune()
	return []Action{InForce{Revision: c.revision, Source: c.from, Folder: merged}}
}

func (s *State) reject(v version) {
	s.stats.Rejected++
	s.rejected = append(s.rejected, v)
	if len(s.rejected) > maxRejected {
		s.rejected = s.rejected[1:]
	}
}

// prune forgets contents that neither the revision in force nor a candidate names.
func (s *State) prune() {
	used := make(map[string]bool)
	if s.inForce != nil {
		for _, f := range s.inForce.manifest {
			used[f.SHA256] = true
		}
	}
	if s.candidate != nil {
		for _, f := range s.candidate.manifest {
			used[f.SHA256] = true
		}
	}
	for sha := range s.contents {
		if !used[sha] {
			delete(s.contents, sha)
		}
	}
}

// FileRead takes a file's content from the service.
func (s *State) FileRead(now time.Time, f platform.ManifestFile, data []byte) []Action {
	if folder.HashFile(data) != f.SHA256 {
		return s.ReadFailed(now, f, true)
	}
	if !s.needs(f.SHA256) {
		return nil
	}
	s.contents[f.SHA256] = data
	s.candidate.progress = now
	if len(s.missing(s.candidate)) > 0 {
		return nil
	}
	return s.collect(now)
}

// needs reports whether the candidate lacks a content.
func (s *State) needs(sha string) bool {
	if s.candidate == nil {
		return false
	}
	return slices.ContainsFunc(s.missing(s.candidate), func(f platform.ManifestFile) bool { return f.SHA256 == sha })
}

// ReadFailed tells that a file couldn't be read, or that its content was not
// the one that the manifest names (torn). The caller reads the manifest again
// after a delay; meanwhile peers that offered the revision are asked.
func (s *State) ReadFailed(now time.Time, f platform.ManifestFile, torn bool) []Action {
	if torn {
		s.stats.Torn++
	}
	if !s.needs(f.SHA256) || s.candidate.from != SourceService {
		return nil
	}
	return s.nextSource(now)
}

// nextSource asks the next peer that offered the candidate.
func (s *State) nextSource(now time.Time) []Action {
	c := s.candidate
	c.asked = now
	if len(c.sources) == 0 {
		return nil
	}
	i := slices.Index(c.sources, c.from) + 1
	c.from = c.sources[i%len(c.sources)]
	return s.collect(now)
}

// Tick asks another source if the last one does not deliver, and gives a
// candidate up that nobody delivers, so that it doesn't stand in the way of a
// lower one.
func (s *State) Tick(now time.Time) []Action {
	c := s.candidate
	if c == nil || now.Sub(c.asked) < s.opts.AskTimeout {
		return nil
	}
	if now.Sub(c.progress) >= giveUpAfter*s.opts.AskTimeout {
		s.candidate = nil
		s.prune()
		return nil
	}
	return s.nextSource(now)
}
