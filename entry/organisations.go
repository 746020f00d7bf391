package entry

import (
	"cmp"
	"slices"
	"strings"
	"sync"

	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/forward"
	"github.com/goldcrestmux/goldcrestmux/ingress"
)

const (
	// maxListedOrganisations is the number of organisations on the state page, which has a
	// line for each.
	maxListedOrganisations = 100
	// maxRevokedLines is the number of log lines about keys that one version revokes.
	maxRevokedLines = 20
)

// organisationCounts counts the requests of organisations. It holds those of the current
// configuration that have sent requests. Its methods are safe for concurrent use.
type organisationCounts struct {
	mu     sync.Mutex
	byName map[string]requestCounts
}

// requestCounts counts the requests of an organisation. A refused one has got a response that
// promises that it has not run.
type requestCounts struct{ admitted, refused uint64 }

func newOrganisationCounts() *organisationCounts {
	return &organisationCounts{byName: map[string]requestCounts{}}
}

func (c *organisationCounts) observe(o *catalog.Organisation, resp *forward.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.byName[o.Name]
	if forward.PromisesNotRun(resp.Status) || resp.Reason == ingress.ReasonKeyWithdrawn {
		counts.refused++
	} else {
		counts.admitted++
	}
	c.byName[o.Name] = counts
}

// retain deletes the counts of organisations that are no longer configured.
func (c *organisationCounts) retain(organisations *catalog.Organisations) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.byName {
		if organisations.Named(name) == nil {
			delete(c.byName, name)
		}
	}
}

// organisationsState is the content of the state page about organisations.
type organisationsState struct {
	Count int `json:"count"`
	Keys  int `json:"keys"`
	// Largest are those with the most requests since the start of the process, or since they
	// were configured.
	Largest []organisationState `json:"largest"`
}

type organisationState struct {
	Name string `json:"name"`
	// Priority is absent if that of the route counts.
	Priority *int   `json:"priority,omitempty"`
	Admitted uint64 `json:"admitted"`
	Refused  uint64 `json:"refused"`
}

func (c *organisationCounts) state(organisations *catalog.Organisations) organisationsState {
	s := organisationsState{Count: organisations.Len(), Keys: organisations.KeyCount(), Largest: []organisationState{}}
	c.mu.Lock()
	for name, counts := range c.byName {
		s.Largest = append(s.Largest, organisationState{Name: name, Admitted: counts.admitted, Refused: counts.refused})
	}
	c.mu.Unlock()
	slices.SortFunc(s.Largest, func(a, b organisationState) int {
		return cmp.Or(cmp.Compare(b.Admitted+b.Refused, a.Admitted+a.Refused), strings.Compare(a.Name, b.Name))
	})
	s.Largest = s.Largest[:min(len(s.Largest), maxListedOrganisations)]
	for i := range s.Largest {
		if o := organisations.Named(s.Largest[i].Name); o != nil && o.HasPriority {
			s.Largest[i].Priority = &o.Priority
		}
	}
	return s
}

// organisationsChanged logs the keys that a new version of the configuration revokes, and
// deletes the counts of organisations that it no longer has.
func (p *process) organisationsChanged(before, v *catalog.View) {
	if !before.Configured() || before.Version == v.Version {
		return
	}
	p.organisations.retain(v.Organisations())
	revoked := before.Organisations().Without(v.Organisations())
	for _, k := range revoked[:min(len(revoked), maxRevokedLines)] {
		p.log.Info("key revoked", "organisation", k.Organisation, "key_hash", k.Key.String(), "version", v.Version)
	}
	if omitted := len(revoked) - maxRevokedLines; omitted > 0 {
		p.log.Info("more keys revoked", "keys", omitted, "version", v.Version)
	}
}
