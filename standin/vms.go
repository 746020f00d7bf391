package standin

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/goldcrestmux/goldcrestmux/platformapi"
)

// vmChange is a list of VMs and the time from which readers receive it.
type vmChange struct {
	visibleAt time.Time
	vms       []platformapi.VM
}

// vmService serves the VM list, in which changes appear after a lag. Methods are
// safe for concurrent use.
type vmService struct {
	forwarders *forwarders

	mu            sync.Mutex
	lag           time.Duration
	useForwarders bool
	list          platformapi.VMList
	pending       []vmChange
}

// VMsChange replaces the VM list. Readers receive the new list after the lag.
type VMsChange struct {
	VMs []platformapi.VM `json:"vms"`
	// Lag, if set, is the time after which readers receive this and later changes.
	Lag *Duration `json:"lag,omitempty"`
	// Cables, if set, determines whether readers that name their data centre
	// receive the addresses of forwarders instead of the VMs' own.
	Cables *bool `json:"cables,omitempty"`
	// KeepList leaves the list as it is, so that only Lag and Cables apply.
	KeepList bool `json:"keep,omitempty"`
}

func (s *vmService) change(c VMsChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Lag != nil {
		s.lag = c.Lag.Std()
	}
	if c.Cables != nil {
		s.useForwarders = *c.Cables
		s.list.Sequence++ // the addresses differ
	}
	if !c.KeepList {
		s.pending = append(s.pending, vmChange{visibleAt: time.Now().Add(s.lag), vms: c.VMs})
	}
}

// current returns the list that readers receive now, and whether the addresses of
// forwarders replace the VMs' own.
func (s *vmService) current() (platformapi.VMList, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for len(s.pending) > 0 && !s.pending[0].visibleAt.After(now) {
		s.list = platformapi.VMList{Sequence: s.list.Sequence + 1, VMs: s.pending[0].vms}
		s.pending = s.pending[1:]
	}
	return s.list, s.useForwarders
}

func (s *vmService) serve(w http.ResponseWriter, r *http.Request) {
	list, useForwarders := s.current()
	from := r.URL.Query().Get("from")
	if r.URL.Query().Get("known") == strconv.FormatUint(list.Sequence, 10) {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	if useForwarders && from != "" {
		var err error
		if list.VMs, err = s.withForwarders(from, list.VMs); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
	}
	writeJSON(w, http.StatusOK, list)
}

// withForwarders returns the VMs with the addresses of forwarders in place of their
// own, for a reader in the data centre from.
func (s *vmService) withForwarders(from string, vms []platformapi.VM) ([]platformapi.VM, error) {
	out := slices.Clone(vms)
	for i, vm := range out {
		out[i].Links = maps.Clone(vm.Links)
		for role, address := range vm.Links {
			forwarder, err := s.forwarders.address(forwarderKey{from: from, vm: vm.Name, role: role}, vm.DataCentre, address)
			if err != nil {
				return nil, err
			}
			out[i].Links[role] = forwarder
		}
	}
	return out, nil
}
