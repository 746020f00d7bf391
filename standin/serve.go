package standin

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/goldcrestmux/goldcrestmux/platformapi"

	"github.com/juju/errors"
	"goji.io"
	"goji.io/pat"

	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/corpus"
	"github.com/goldcrestmux/goldcrestmux/targetapi"
)

const (
	maxRequestBytes = 1 << 20
	defaultDeadline = 30 * time.Second
	serviceSpread   = 0.2 // standard deviation of the logarithm of service times
	shedRetryAfter  = 20  // milliseconds
)

// job is one request in progress at a target.
type job struct {
	t        *Target
	received time.Time
	request  targetapi.TargetRequest
	action   targetapi.Action
	isAction bool
	query    targetapi.Query
	from     string // data centre of the relay
	relay    string
	ctx      context.Context
	index    int // in the ledger
	boot     string
	entries  []corpus.Entry
}

func (t *Target) handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Post(targetapi.PathSearch), func(w http.ResponseWriter, r *http.Request) { t.serve(w, r, false) })
	mux.HandleFunc(pat.Post(targetapi.PathAction), func(w http.ResponseWriter, r *http.Request) { t.serve(w, r, true) })
	mux.HandleFunc(pat.Post(targetapi.PathCancel), t.serveCancel)
	mux.HandleFunc(pat.Get(targetapi.PathHealth), t.serveHealth)
	return mux
}

func (t *Target) serveHealth(w http.ResponseWriter, r *http.Request) {
	from := r.Header.Get(platformapi.HeaderDataCentre)
	t.swallowIfCutOff(from, r)
	time.Sleep(2 * t.distance(from, t.layout.DataCentre))
	t.setHeaders(w, r)
	writeJSON(w, http.StatusOK, t.tellHealth())
}

func (t *Target) serveCancel(w http.ResponseWriter, r *http.Request) {
	from := r.Header.Get(platformapi.HeaderDataCentre)
	t.swallowIfCutOff(from, r)
	var cancel targetapi.TargetCancel
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&cancel); err != nil {
		t.refuse(w, r, &targetapi.TargetRefusal{Code: string(code.BadRequest), NotRun: true}, http.StatusBadRequest)
		return
	}
	time.Sleep(t.distance(from, t.layout.DataCentre))
	t.mu.Lock()
	stop, ok := t.inflight[cancel.ID]
	t.mu.Unlock()
	if ok {
		stop(errCanceled)
	}
	t.setHeaders(w, r)
	w.WriteHeader(http.StatusNoContent)
}

// serve handles a search or an action from its arrival to its answer.
func (t *Target) serve(w http.ResponseWriter, r *http.Request, isAction bool) {
	j := &job{
		t: t, received: time.Now(), isAction: isAction, index: -1,
		from: r.Header.Get(platformapi.HeaderDataCentre), relay: r.Header.Get(targetapi.HeaderRelay),
	}
	t.swallowIfCutOff(j.from, r)
	if err := j.parse(w, r); err != nil {
		t.refuse(w, r, j.refusal(code.BadRequest, true), http.StatusBadRequest)
		return
	}
	stop := j.begin(r)
	defer stop()
	if err := j.sleep(t.distance(j.from, t.layout.DataCentre)); err != nil {
		j.answerStopped(w, r, true)
		return
	}
	if refusal, status := j.admit(); refusal != nil {
		j.travelBack()
		t.refuse(w, r, refusal, status)
		return
	}
	if err := j.sleep(t.serviceTime()); err != nil {
		j.end(false)
		j.answerStopped(w, r, false)
		return
	}
	t.gate.wait()
	if !j.end(true) {
		panic(http.ErrAbortHandler)
	}
	j.answer(w, r)
}

func (j *job) parse(w http.ResponseWriter, r *http.Request) error {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&j.request); err != nil {
		return errors.Trace(err)
	}
	if j.request.Search != j.t.layout.Search {
		return errors.NotFoundf("search %q", j.request.Search)
	}
	if j.isAction {
		return errors.Trace(json.Unmarshal(j.request.Payload, &j.action))
	}
	return errors.Trace(json.Unmarshal(j.request.Payload, &j.query))
}

// begin registers the request for cancellation and starts its deadline.
func (j *job) begin(r *http.Request) func() {
	left := defaultDeadline
	if micros, err := strconv.ParseInt(r.Header.Get(targetapi.HeaderDeadline), 10, 64); err == nil {
		left = time.Duration(micros) * time.Microsecond
	}
	t := j.t
	t.mu.Lock()
	ctx, cancel := context.WithCancelCause(t.life)
	j.boot = t.bootID
	t.inflight[j.request.ID] = cancel
	t.mu.Unlock()
	ctx, release := context.WithDeadline(ctx, j.received.Add(left))
	j.ctx = ctx
	return func() {
		release()
		cancel(nil)
		t.mu.Lock()
		delete(t.inflight, j.request.ID)
		t.mu.Unlock()
	}
}

// sleep waits, or returns why the job ended before.
func (j *job) sleep(d time.Duration) error {
	if d > 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-j.ctx.Done():
		}
	}
	j.t.gate.wait()
	if j.ctx.Err() != nil {
		return context.Cause(j.ctx)
	}
	return nil
}

func (j *job) travelBack() { time.Sleep(j.t.distance(j.from, j.t.layout.DataCentre)) }

// admit starts the execution, or tells why the target refuses it. A cold
// target that can't bear the work falls over.
func (j *job) admit() (*targetapi.TargetRefusal, int) {
	t := j.t
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining && !time.Now().Before(t.refuseAfter) {
		t.stats.AfterDrainGracePeriod++
		return j.refusal(code.TargetOut, true), http.StatusServiceUnavailable
	}
	entries, ok := t.versions[j.request.Version][j.request.Shard]
	if !ok {
		refusal := j.refusal(code.VersionNotLoaded, true)
		for version := range t.versions {
			refusal.Versions = append(refusal.Versions, version)
		}
		slices.Sort(refusal.Versions)
		return refusal, http.StatusConflict
	}
	j.entries = entries
	bears := t.bears()
	if t.stats.Running >= bears && t.warm {
		t.stats.SlotBreaches++
		refusal := j.refusal(code.Shed, true)
		refusal.RetryAfterMillis = shedRetryAfter
		return refusal, http.StatusServiceUnavailable
	}
	j.start()
	if t.stats.Running > bears {
		t.stats.ColdBreaches++
		if t.told.IsZero() || j.received.Before(t.told.Add(noticeTime)) && !t.told.Equal(t.booted) {
			t.stats.UnavoidableColdBreaches++
		}
		t.fall()
	}
	return nil, 0
}

// start enters the execution into the ledger. The caller holds the lock.
func (j *job) start() {
	t := j.t
	now := time.Now()
	j.boot = t.bootID
	t.stats.Running++
	t.stats.Started++
	t.stats.LastStart = now
	t.stats.Peak = max(t.stats.Peak, t.stats.Running)
	if !t.warm {
		t.stats.PeakCold = max(t.stats.PeakCold, t.stats.Running)
	}
	j.index = t.ledger.begin(t.layout.DataCentre, Execution{
		Target: t.layout.Name, Boot: j.boot, ID: j.request.ID, Action: j.action.ID,
		Search: j.request.Search, Version: j.request.Version, Shard: j.request.Shard,
		Relay: j.relay, DataCentre: j.from, Start: now,
	})
}

// end closes the execution. It reports false if the target stopped meanwhile.
func (j *job) end(completed bool) bool {
	t := j.t
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Running--
	cause := context.Cause(j.ctx)
	outcome := code.OK
	switch {
	case errors.Is(cause, errStopped):
		completed, outcome = false, code.Broken
	case completed:
		t.stats.Completed++
		if j.boot == t.bootID {
			t.sinceBoot++
		}
	default:
		outcome = stopCode(cause)
	}
	t.ledger.end(j.index, outcome)
	return completed
}

// answerStopped answers a request that ended before its work was done.
func (j *job) answerStopped(w http.ResponseWriter, r *http.Request, notRun bool) {
	cause := context.Cause(j.ctx)
	if errors.Is(cause, errStopped) {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusGatewayTimeout
	if errors.Is(cause, errCanceled) {
		status = statusCanceled
	}
	j.travelBack()
	j.t.refuse(w, r, j.refusal(stopCode(cause), notRun), status)
}

// statusCanceled is the status of the answer to a canceled request.
const statusCanceled = 499

func stopCode(cause error) code.Code {
	if errors.Is(cause, errCanceled) {
		return code.Canceled
	}
	return code.Timeout
}

func (j *job) refusal(c code.Code, notRun bool) *targetapi.TargetRefusal {
	return &targetapi.TargetRefusal{ID: j.request.ID, Code: string(c), NotRun: notRun}
}

// refuse answers a request that doesn't run to its end.
func (t *Target) refuse(w http.ResponseWriter, r *http.Request, refusal *targetapi.TargetRefusal, status int) {
	t.mu.Lock()
	t.stats.Refused++
	t.mu.Unlock()
	if refusal.NotRun {
		t.ledger.refuse(code.Code(refusal.Code))
	}
	t.setHeaders(w, r)
	writeJSON(w, status, refusal)
}

// setHeaders tells the boot. It counts as told if the connection can pass it on.
func (t *Target) setHeaders(w http.ResponseWriter, r *http.Request) {
	conn, _ := r.Context().Value(connKey{}).(*targetConn)
	t.mu.Lock()
	defer t.mu.Unlock()
	w.Header().Set(targetapi.HeaderBootID, t.bootID)
	if t.told.IsZero() && (conn == nil || !conn.silent.Load()) {
		t.told = time.Now()
	}
	if t.draining {
		w.Header().Set(targetapi.HeaderDraining, "true")
	}
}

// swallowIfCutOff never answers a request from a data centre that is cut off.
func (t *Target) swallowIfCutOff(from string, r *http.Request) {
	t.mu.Lock()
	cut := slices.Contains(t.settings.cutOff, from)
	life := t.life
	t.mu.Unlock()
	if !cut {
		return
	}
	select {
	case <-r.Context().Done():
	case <-life.Done():
	}
	panic(http.ErrAbortHandler)
}

// serviceTime draws the time that the next request takes.
func (t *Target) serviceTime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.settings.service
	d := float64(s.Median) * math.Exp(serviceSpread*t.rng.NormFloat64())
	if t.rng.Float64() < s.StragglerFraction {
		d *= s.StragglerFactor
	}
	return time.Duration(d)
}
