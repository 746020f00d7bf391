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

// vmChange is a list of VMs and the time from which readers see it.
type vmChange struct {
	visible time.Time
	vms     []platformapi.VM
}

// vmService serves the lagging list of VMs. It is safe for concurrent use.
type vmService struct {
	cables *cables

	mu        sync.Mutex
	lag       time.Duration
	useCables bool
	list      platformapi.VMList
	pending   []vmChange
}

// VMsChange replaces the list of VMs, from the reader's view after the lag.
type VMsChange struct {
	VMs []platformapi.VM `json:"vms"`
	// Lag, if set, is the time after which this and later changes are visible.
	Lag *Duration `json:"lag,omitempty"`
	// Cables, if set, tells whether readers that name their data centre are
	// given the addresses of forwarders in place of the VMs' own.
	Cables *bool `json:"cables,omitempty"`
	// KeepList changes only the settings and leaves the list as it is.
	KeepList bool `json:"keep,omitempty"`
}

func (s *vmService) change(c VMsChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Lag != nil {
		s.lag = c.Lag.Std()
	}
	if c.Cables != nil {
		s.useCables = *c.Cables
		s.list.Sequence++ // the addresses differ
	}
	if !c.KeepList {
		s.pending = append(s.pending, vmChange{visible: time.Now().Add(s.lag), vms: c.VMs})
	}
}

// view returns the list that readers see now.
func (s *vmService) view() (platformapi.VMList, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for len(s.pending) > 0 && !s.pending[0].visible.After(now) {
		s.list = platformapi.VMList{Sequence: s.list.Sequence + 1, VMs: s.pending[0].vms}
		s.pending = s.pending[1:]
	}
	return s.list, s.useCables
}

func (s *vmService) serve(w http.ResponseWriter, r *http.Request) {
	list, useCables := s.view()
	from := r.URL.Query().Get("from")
	if r.URL.Query().Get("known") == strconv.FormatUint(list.Sequence, 10) {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	if useCables && from != "" {
		var err error
		if list.VMs, err = s.overCables(from, list.VMs); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
	}
	writeJSON(w, http.StatusOK, list)
}

// overCables returns the VMs with the addresses of forwarders.
func (s *vmService) overCables(from string, vms []platformapi.VM) ([]platformapi.VM, error) {
	out := slices.Clone(vms)
	for i, vm := range out {
		out[i].Links = maps.Clone(vm.Links)
		for role, address := range vm.Links {
			forwarder, err := s.cables.address(cableKey{from: from, vm: vm.Name, role: role}, vm.DataCentre, address)
			if err != nil {
				return nil, err
			}
			out[i].Links[role] = forwarder
		}
	}
	return out, nil
}
