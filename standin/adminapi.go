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

// FolderChange creates new revisions of the folder.
type FolderChange struct {
	// Replace sets the whole folder to Put in one revision; otherwise Put and
	// Remove change single files, each in a revision of its own.
	Replace bool     `json:"replace,omitempty"`
	Put     []File   `json:"put,omitempty"`
	Remove  []string `json:"remove,omitempty"`
}

// FolderRevision is the response to a FolderChange: the latest revision.
type FolderRevision struct {
	Revision uint64 `json:"revision"`
}

// TargetsChanged is the response to a TargetChange: the number of targets that it
// selected.
type TargetsChanged struct {
	Targets int `json:"targets"`
}

// ActionsAsk requests the number of executions of actions. The errors that clients
// receive contain the type's name.
type ActionsAsk struct {
	Actions []string `json:"actions"`
}

// ActionsResponse is the response to an ActionsAsk.
type ActionsResponse struct {
	Runs []ActionRuns `json:"runs"`
}

// TargetDetail holds the counters and the recorded executions of one target.
type TargetDetail struct {
	Stats      TargetStats `json:"stats"`
	Executions []Execution `json:"executions"`
}

// emptyResponse is the response to changes that return no data.
type emptyResponse struct{}

func (s *Standin) adminHandler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get(pathLayout), func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.layout)
	})
	mux.HandleFunc(pat.Get(pathLedger), s.serveLedger)
	mux.HandleFunc(pat.Get(pathTarget), s.serveTarget)
	handle(mux, pathActions, func(request ActionsAsk) (ActionsResponse, error) {
		return ActionsResponse{Runs: s.ledger.runs(request.Actions)}, nil
	})
	handle(mux, pathTargets, func(c TargetChange) (TargetsChanged, error) {
		n, err := s.change(&c)
		return TargetsChanged{Targets: n}, err
	})
	handle(mux, pathFolder, s.changeFolder)
	handle(mux, pathConfig, func(f ConfigFault) (emptyResponse, error) {
		s.config.setFault(f)
		return emptyResponse{}, nil
	})
	handle(mux, pathVMs, func(c VMsChange) (emptyResponse, error) {
		s.vms.change(c)
		return emptyResponse{}, nil
	})
	handle(mux, pathCables, func(c CableChange) (emptyResponse, error) {
		s.forwarders.change(c)
		return emptyResponse{}, nil
	})
	return mux
}

// handle registers a handler of POST requests with a JSON body, which responds in
// JSON.
func handle[Request, Response any](mux *goji.Mux, path string, f func(Request) (Response, error)) {
	mux.HandleFunc(pat.Post(path), func(w http.ResponseWriter, r *http.Request) {
		var request Request
		decoder := json.NewDecoder(r.Body)
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		response, err := f(request)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, http.StatusOK, response)
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
			writeJSON(w, http.StatusOK, TargetDetail{Stats: t.currentStats(), Executions: s.ledger.executionsAt(name)})
			return
		}
	}
	http.NotFound(w, r)
}

func (s *Standin) changeFolder(c FolderChange) (FolderRevision, error) {
	if c.Replace {
		return FolderRevision{Revision: s.config.replace(c.Put)}, nil
	}
	var revision uint64
	for _, f := range c.Put {
		revision = s.config.change(f.Name, f.Data)
	}
	for _, name := range c.Remove {
		revision = s.config.change(name, nil)
	}
	return FolderRevision{Revision: revision}, nil
}
