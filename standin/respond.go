package standin

import (
	"net/http"
	"time"

	"github.com/goldcrestmux/goldcrestmux/corpus"
	"github.com/goldcrestmux/goldcrestmux/targetapi"
)

// malformedBody is the body of a malformed response.
const malformedBody = `{"id": <html>`

// respond sends the result of the request, with the faults that are configured.
func (j *job) respond(w http.ResponseWriter, r *http.Request) {
	response := j.result()
	t := j.t
	t.mu.Lock()
	faults := t.settings.faults
	delayed := t.rng.Float64() < faults.Late
	mismatched := t.rng.Float64() < faults.Mismatched
	truncated := t.rng.Float64() < faults.Truncated
	malformed := t.rng.Float64() < faults.Malformed
	previous := t.lastResponse
	t.lastResponse = &response
	t.mu.Unlock()

	if delayed {
		time.Sleep(faults.LateBy.Std())
	}
	j.waitNetworkDelay()
	t.setHeaders(w, r)
	switch {
	case malformed:
		_, _ = w.Write([]byte(malformedBody))
	case mismatched:
		writeJSON(w, http.StatusOK, mismatchedResponse(response, previous))
	case truncated && len(response.Records) > 0:
		response.Records = response.Records[:len(response.Records)/2]
		writeJSON(w, http.StatusOK, response)
	default:
		writeJSON(w, http.StatusOK, response)
	}
}

// result returns the response without faults.
func (j *job) result() targetapi.TargetAnswer {
	response := targetapi.TargetAnswer{
		ID: j.request.ID, Search: j.request.Search,
		Version: j.request.Version, Shard: j.request.Shard,
	}
	if j.isAction {
		return response
	}
	matched, top := corpus.Search(j.entries, j.query)
	response.Matched = uint32(matched)
	response.Records = top
	response.Count = len(top)
	return response
}

// mismatchedResponse returns the response to another request, or the given one with
// a different ID if there is no other.
func mismatchedResponse(response targetapi.TargetAnswer, previous *targetapi.TargetAnswer) targetapi.TargetAnswer {
	if previous != nil && previous.ID != response.ID {
		return *previous
	}
	response.ID += "-other"
	return response
}
