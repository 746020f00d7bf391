package revision

import (
	"maps"
	"slices"
	"time"

	"github.com/goldcrestmux/goldcrestmux/folder"
	"github.com/goldcrestmux/goldcrestmux/platformapi"
)

// advance accepts a complete revision and fetches missing contents.
func (s *State) advance(now time.Time) []Action {
	actions := s.acceptBest(now)
	actions = append(actions, s.readMissing(now)...)
	actions = append(actions, s.requestFromPeers(now)...)
	return append(actions, s.requestAtStartup(now)...)
}

// acceptBest accepts the best complete candidate that is valid, and rejects the
// better ones that are not.
func (s *State) acceptBest(now time.Time) []Action {
	var actions []Action
	for _, c := range s.ordered() {
		if len(s.missing(c)) > 0 {
			continue
		}
		delete(s.candidates, c.key)
		if !c.supersedes(s.inForce) {
			continue
		}
		files := s.filesOf(c)
		contracts, err := s.opts.Validate(files)
		if err != nil {
			s.reject(c)
			actions = append(actions, Rejected{c.revision, c.digest, c.source, err})
			continue
		}
		return append(actions, s.accept(now, c, files, contracts)...)
	}
	return actions
}

// ordered returns the candidates, best first.
func (s *State) ordered() []*candidate {
	return slices.SortedFunc(maps.Values(s.candidates), func(a, b *candidate) int {
		if a.supersedes(b) {
			return -1
		}
		return 1
	})
}

// missing returns the files of c whose content is not known.
func (s *State) missing(c *candidate) []platformapi.ManifestFile {
	var missing []platformapi.ManifestFile
	for _, f := range c.files {
		if _, ok := s.contents[f.SHA256]; !ok {
			missing = append(missing, f)
		}
	}
	return missing
}

// filesOf returns the files of c; none may be missing.
func (s *State) filesOf(c *candidate) []folder.File {
	files := make([]folder.File, 0, len(c.files))
	for _, f := range c.files {
		files = append(files, folder.File{Name: f.Name, Data: s.contents[f.SHA256]})
	}
	return files
}

func (s *State) reject(c *candidate) {
	s.rejected[c.key] = true
	s.fetches.drop(c.key)
	s.counts.Rejected++
	s.prune()
}

func (s *State) accept(now time.Time, c *candidate, files []folder.File, contracts *folder.Contracts) []Action {
	var actions []Action
	if old := s.inForce; old != nil && old.revision == c.revision {
		actions = s.recordConflict(c, old, c.source)
	}
	s.inForce = c
	s.since = now
	s.counts.Accepted++
	s.prune()
	offer := s.CurrentOffer()
	return append(actions, Accepted{c.revision, c.digest, files, contracts, c.source}, Offer{offer})
}

// prune drops all state of revisions that can no longer come into force.
func (s *State) prune() {
	obsolete := func(k key) bool { return s.inForce != nil && k.revision < s.inForce.revision }
	maps.DeleteFunc(s.candidates, func(k key, _ *candidate) bool { return !s.eligible(k) })
	maps.DeleteFunc(s.rejected, func(k key, _ bool) bool { return obsolete(k) })
	maps.DeleteFunc(s.conflicting, func(k key, _ bool) bool { return obsolete(k) })
	maps.DeleteFunc(s.fetches, func(k key, _ *fetch) bool { return !s.eligible(k) })
	used := map[string]bool{hashOf(nil): true}
	for _, c := range s.candidates {
		c.addHashes(used)
	}
	if s.inForce != nil {
		s.inForce.addHashes(used)
	}
	maps.DeleteFunc(s.contents, func(hash string, _ []byte) bool { return !used[hash] })
	s.reads.retain(used)
}

// addHashes adds the hashes of the files of c to used.
func (c *candidate) addHashes(used map[string]bool) {
	for _, f := range c.files {
		used[f.SHA256] = true
	}
}
