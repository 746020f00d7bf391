package revision

import (
	"maps"
	"slices"
	"time"

	"github.com/goldcrestmux/goldcrestmux/folder"
	"github.com/goldcrestmux/goldcrestmux/platformapi"
)

// advance accepts what is complete and fetches what is missing.
func (s *State) advance(now time.Time) []Action {
	actions := s.settle(now)
	actions = append(actions, s.readMissing(now)...)
	actions = append(actions, s.askPeers(now)...)
	return append(actions, s.askAtStart(now)...)
}

// settle accepts the best complete candidate that passes the check.
func (s *State) settle(now time.Time) []Action {
	var actions []Action
	for _, c := range s.ordered() {
		if len(s.missing(c)) > 0 {
			continue
		}
		delete(s.candidates, c.key)
		if !c.beats(s.inForce) {
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
		if a.beats(b) {
			return -1
		}
		return 1
	})
}

func (s *State) missing(c *candidate) []platformapi.ManifestFile {
	var missing []platformapi.ManifestFile
	for _, f := range c.files {
		if _, ok := s.contents[f.SHA256]; !ok {
			missing = append(missing, f)
		}
	}
	return missing
}

func (s *State) filesOf(c *candidate) []folder.File {
	files := make([]folder.File, 0, len(c.files))
	for _, f := range c.files {
		files = append(files, folder.File{Name: f.Name, Data: s.contents[f.SHA256]})
	}
	return files
}

func (s *State) reject(c *candidate) {
	s.rejected[c.key] = true
	s.asks.drop(c.key)
	s.counts.Rejected++
	s.prune()
}

func (s *State) accept(now time.Time, c *candidate, files []folder.File, contracts *folder.Contracts) []Action {
	var actions []Action
	if old := s.inForce; old != nil && old.revision == c.revision {
		actions = s.dispute(c, old, c.source)
	}
	s.inForce = c
	s.since = now
	s.counts.Accepted++
	s.prune()
	offer := s.CurrentOffer()
	return append(actions, Accepted{c.revision, c.digest, files, contracts, c.source}, Offer{offer})
}

// prune forgets what can no longer come into force.
func (s *State) prune() {
	obsolete := func(k key) bool { return s.inForce != nil && k.revision < s.inForce.revision }
	maps.DeleteFunc(s.candidates, func(k key, _ *candidate) bool { return !s.wants(k) })
	maps.DeleteFunc(s.rejected, func(k key, _ bool) bool { return obsolete(k) })
	maps.DeleteFunc(s.disputed, func(k key, _ bool) bool { return obsolete(k) })
	maps.DeleteFunc(s.asks, func(k key, _ *ask) bool { return !s.wants(k) })
	used := map[string]bool{hashOf(nil): true}
	for _, c := range s.candidates {
		c.markUsed(used)
	}
	if s.inForce != nil {
		s.inForce.markUsed(used)
	}
	maps.DeleteFunc(s.contents, func(hash string, _ []byte) bool { return !used[hash] })
	s.reads.forget(used)
}

func (c *candidate) markUsed(used map[string]bool) {
	for _, f := range c.files {
		used[f.SHA256] = true
	}
}
