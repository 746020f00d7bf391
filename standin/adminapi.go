package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"goji.io"
	"goji.io/pat"
)

// Paths of the admin API.
const (
	pathLayout  = "/admin/layout"
	pathLedger  = "/admin/ledger" // ?since=TIME
	pathTarget  = "/admin/ledger/:target"
	pathActions = "/admin/actions"
	pathTargets = "/admin/targets"
	pathFolder  = "/admin/folder"
	pathConfig  = "/admin/config"
	pathVMs     = "/admin/vms"
	pathCables  = "/admin/cables"
)

// FolderChange makes a new revision of the folder.
type FolderChange struct {
	// Replace sets the whole folder to Put; otherwise Put and Remove change
	// single files, each in a revision of its own.
	Replace bool     `json:"replace,omitempty"`
	Put     []File   `json:"put,omitempty"`
	Remove  []string `json:"remove,omitempty"`
}

// FolderRevision answers a FolderChange.
type FolderRevision struct {
	Revision uint64 `json:"revision"`
}

// TargetsChanged answers a TargetChange.
type TargetsChanged struct {
	Targets int `json:"targets"`
}

// ActionsAsk asks how often actions ran.
type ActionsAsk struct {
	Actions []string `json:"actions"`
}

// ActionsResponse answers an ActionsAsk.
type ActionsResponse struct {
	Runs []ActionRuns `json:"runs"`
}

// TargetDetail is all that the ledger knows of one target.
type TargetDetail struct {
	Stats      TargetStats `json:"stats"`
	Executions []Execution `json:"executions"`
}

// done answers changes that have nothing to tell.
type done struct{}

func (s *Standin) adminHandler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get(pathLayout), func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.layout)
	})
	mux.HandleFunc(pat.Get(pathLedger), s.serveLedger)
	mux.HandleFunc(pat.Get(pathTarget), s.serveTarget)
	handle(mux, pathActions, func(ask ActionsAsk) (ActionsResponse, error) {
		return ActionsResponse{Runs: s.ledger.runs(ask.Actions)}, nil
	})
	handle(mux, pathTargets, func(c TargetChange) (TargetsChanged, error) {
		n, err := s.change(&c)
		return TargetsChanged{Targets: n}, err
	})
	handle(mux, pathFolder, s.changeFolder)
	handle(mux, pathConfig, func(f ConfigFault) (done, error) {
		s.config.setFault(f)
		return done{}, nil
	})
	handle(mux, pathVMs, func(c VMsChange) (done, error) {
		s.vms.change(c)
		return done{}, nil
	})
	handle(mux, pathCables, func(c CableChange) (done, error) {
		s.cables.change(c)
		return done{}, nil
	})
	return mux
}

// handle serves a POST of a JSON request that is answered in JSON.
func handle[Q, A any](mux *goji.Mux, path string, f func(Q) (A, error)) {
	mux.HandleFunc(pat.Post(path), func(w http.ResponseWriter, r *http.Request) {
		var q Q
		decoder := json.NewDecoder(r.Body)
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&q); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		a, err := f(q)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, http.StatusOK, a)
	})
}

func (s *Standin) serveLedger(w http.ResponseWriter, r *http.Request) {
	var since time.Time
	if text := r.URL.Query().Get("since"); text != "" {
		var err error
		if since, err = time.Parse(time.RFC3339Nano, text); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	writeJSON(w, http.StatusOK, s.summary(since))
}

func (s *Standin) serveTarget(w http.ResponseWriter, r *http.Request) {
	name := pat.Param(r, "target")
	for _, t := range s.targets {
		if t.layout.Name == name {
			writeJSON(w, http.StatusOK, TargetDetail{Stats: t.snapshot(), Executions: s.ledger.of(name)})
			return
		}
	}
	http.NotFound(w, r)
}

func (s *Standin) changeFolder(c FolderChange) (FolderRevision, error) {
	if c.Replace {
		return FolderRevision{Revision: s.config.set(c.Put)}, nil
	}
	var number uint64
	for _, f := range c.Put {
		number = s.config.change(f.Name, f.Data)
	}
	for _, name := range c.Remove {
		number = s.config.change(name, nil)
	}
	return FolderRevision{Revision: number}, nil
}
