package standin

import (
	"net/http"
	"time"

	"github.com/goldcrestmux/goldcrestmux/corpus"
	"github.com/goldcrestmux/goldcrestmux/targetapi"
)

// garbage is the body of a faulty answer.
const garbage = `{"id": <html>`

// answer sends the result of the work, with the faults that are set.
func (j *job) answer(w http.ResponseWriter, r *http.Request) {
	answer := j.result()
	t := j.t
	t.mu.Lock()
	faults := t.settings.faults
	late := t.rng.Float64() < faults.Late
	crossed := t.rng.Float64() < faults.Mismatched
	short := t.rng.Float64() < faults.Truncated
	bad := t.rng.Float64() < faults.Malformed
	previous := t.last
	t.last = &answer
	t.mu.Unlock()

	if late {
		time.Sleep(faults.LateBy.Std())
	}
	j.travelBack()
	t.setHeaders(w, r)
	switch {
	case bad:
		_, _ = w.Write([]byte(garbage))
	case crossed:
		writeJSON(w, http.StatusOK, cross(answer, previous))
	case short && len(answer.Records) > 0:
		answer.Records = answer.Records[:len(answer.Records)/2]
		writeJSON(w, http.StatusOK, answer)
	default:
		writeJSON(w, http.StatusOK, answer)
	}
}

func (j *job) result() targetapi.TargetAnswer {
	answer := targetapi.TargetAnswer{
		ID: j.request.ID, Search: j.request.Search,
		Version: j.request.Version, Shard: j.request.Shard,
	}
	if j.isAction {
		return answer
	}
	matched, top := corpus.Search(j.entries, j.query)
	answer.Matched = uint32(matched)
	answer.Records = top
	answer.Count = len(top)
	return answer
}

// cross returns the answer to another request, or one with a foreign id.
func cross(answer targetapi.TargetAnswer, previous *targetapi.TargetAnswer) targetapi.TargetAnswer {
	if previous != nil && previous.ID != answer.ID {
		return *previous
	}
	answer.ID += "-other"
	return answer
}
