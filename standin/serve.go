package standin

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"goji.io"
	"goji.io/pat"

	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/corpus"
	"github.com/goldcrestmux/goldcrestmux/platformapi"
	"github.com/goldcrestmux/goldcrestmux/targetapi"
)

const (
	maxRequestBytes      = 1 << 20
	defaultTimeout       = 30 * time.Second // of a request without a deadline
	serviceTimeSigma     = 0.2              // standard deviation of the logarithm of service times
	shedRetryAfterMillis = 20
)

// job is one request in progress at a target.
type job struct {
	t               *Target
	received        time.Time
	request         targetapi.TargetRequest
	action          targetapi.Action
	isAction        bool
	query           targetapi.Query
	relayDataCentre string
	relay           string
	ctx             context.Context
	index           int // in the ledger; -1 if it has no details
	boot            string
	entries         []corpus.Entry
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
	t.blockIfPartitioned(from, r)
	time.Sleep(2 * t.networkDelay(from, t.layout.DataCentre))
	t.setHeaders(w, r)
	writeJSON(w, http.StatusOK, t.reportedHealth())
}

func (t *Target) serveCancel(w http.ResponseWriter, r *http.Request) {
	from := r.Header.Get(platformapi.HeaderDataCentre)
	t.blockIfPartitioned(from, r)
	var cancel targetapi.TargetCancel
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&cancel); err != nil {
		t.refuse(w, r, &targetapi.TargetRefusal{Code: string(code.BadRequest), NotRun: true}, http.StatusBadRequest)
		return
	}
	time.Sleep(t.networkDelay(from, t.layout.DataCentre))
	t.mu.Lock()
	cancelRequest, ok := t.inProgress[cancel.ID]
	t.mu.Unlock()
	if ok {
		cancelRequest(errCanceled)
	}
	t.setHeaders(w, r)
	w.WriteHeader(http.StatusNoContent)
}

// serve handles a search or an action from its arrival to its response.
func (t *Target) serve(w http.ResponseWriter, r *http.Request, isAction bool) {
	j := &job{
		t: t, received: time.Now(), isAction: isAction, index: -1,
		relayDataCentre: r.Header.Get(platformapi.HeaderDataCentre), relay: r.Header.Get(targetapi.HeaderRelay),
	}
	t.blockIfPartitioned(j.relayDataCentre, r)
	if err := j.parse(w, r); err != nil {
		t.refuse(w, r, j.refusal(code.BadRequest, true), http.StatusBadRequest)
		return
	}
	release := j.begin(r)
	defer release()
	if err := j.sleep(t.networkDelay(j.relayDataCentre, t.layout.DataCentre)); err != nil {
		j.respondUnfinished(w, r, true)
		return
	}
	if refusal, status := j.admit(); refusal != nil {
		j.waitNetworkDelay()
		t.refuse(w, r, refusal, status)
		return
	}
	if err := j.sleep(t.drawServiceTime()); err != nil {
		j.end(false)
		j.respondUnfinished(w, r, false)
		return
	}
	t.gate.wait()
	if t.crashOn(&j.query) {
		j.end(false)
		panic(http.ErrAbortHandler)
	}
	if !j.end(true) {
		panic(http.ErrAbortHandler)
	}
	j.respond(w, r)
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

// begin sets the job's context, which ends at the request's deadline, when the
// request is canceled or when the target stops. The returned function releases it.
func (j *job) begin(r *http.Request) func() {
	timeout := defaultTimeout
	if micros, err := strconv.ParseInt(r.Header.Get(targetapi.HeaderDeadline), 10, 64); err == nil {
		timeout = time.Duration(micros) * time.Microsecond
	}
	t := j.t
	t.mu.Lock()
	ctx, cancel := context.WithCancelCause(t.ctx)
	j.boot = t.bootID
	t.inProgress[j.request.ID] = cancel
	t.mu.Unlock()
	ctx, stopTimer := context.WithDeadline(ctx, j.received.Add(timeout))
	j.ctx = ctx
	return func() {
		stopTimer()
		cancel(nil)
		t.mu.Lock()
		delete(t.inProgress, j.request.ID)
		t.mu.Unlock()
	}
}

// sleep waits for d. It returns the cause if the job's context ends first.
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

// waitNetworkDelay waits for the one-way network delay of the response.
func (j *job) waitNetworkDelay() {
	time.Sleep(j.t.networkDelay(j.relayDataCentre, j.t.layout.DataCentre))
}

// admit starts the execution, or returns the target's refusal and its status. A cold
// target crashes if the request exceeds its capacity.
func (j *job) admit() (*targetapi.TargetRefusal, int) {
	t := j.t
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining && !time.Now().Before(t.refuseAfter) {
		t.stats.RequestsAfterGracePeriod++
		return j.refusal(code.TargetOutOfService, true), http.StatusServiceUnavailable
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
	capacity := t.capacity()
	if t.stats.Running >= capacity && t.warm {
		t.stats.SlotViolations++
		refusal := j.refusal(code.Shed, true)
		refusal.RetryAfterMillis = shedRetryAfterMillis
		return refusal, http.StatusServiceUnavailable
	}
	j.start()
	if t.stats.Running > capacity {
		t.stats.ColdViolations++
		// The violation is undetectable if the request arrived before clients could
		// know this boot, or less than coldGracePeriod after that. After a restart
		// bootAnnounced equals bootTime: clients know the boot from its start.
		if t.bootAnnounced.IsZero() || j.received.Before(t.bootAnnounced.Add(coldGracePeriod)) && !t.bootAnnounced.Equal(t.bootTime) {
			t.stats.UndetectableColdViolations++
		}
		t.crash()
	}
	return nil, 0
}

// start records the start of the execution. t.mu must be held.
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
		Relay: j.relay, DataCentre: j.relayDataCentre, Start: now,
	})
}

// end records the end of the execution and returns completed, or false if the target
// has stopped.
func (j *job) end(completed bool) bool {
	t := j.t
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Running--
	cause := context.Cause(j.ctx)
	outcome := code.OK
	switch {
	case errors.Is(cause, errTargetStopped):
		completed, outcome = false, code.ConnectionBroken
	case completed:
		t.stats.Completed++
		if j.boot == t.bootID {
			t.completedSinceBoot++
		}
	default:
		outcome = causeCode(cause)
	}
	t.ledger.end(j.index, outcome)
	return completed
}

// respondUnfinished responds to a request that ended before it was completed. notRun
// means that its execution did not start.
func (j *job) respondUnfinished(w http.ResponseWriter, r *http.Request, notRun bool) {
	cause := context.Cause(j.ctx)
	if errors.Is(cause, errTargetStopped) {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusGatewayTimeout
	if errors.Is(cause, errCanceled) {
		status = statusCanceled
	}
	j.waitNetworkDelay()
	j.t.refuse(w, r, j.refusal(causeCode(cause), notRun), status)
}

// statusCanceled is the HTTP status of the response to a canceled request.
const statusCanceled = 499

// causeCode returns the code of a request that ended because of cause.
func causeCode(cause error) code.Code {
	if errors.Is(cause, errCanceled) {
		return code.Canceled
	}
	return code.Timeout
}

func (j *job) refusal(c code.Code, notRun bool) *targetapi.TargetRefusal {
	return &targetapi.TargetRefusal{ID: j.request.ID, Code: string(c), NotRun: notRun}
}

// refuse sends a refusal of a request that is not run or not completed.
func (t *Target) refuse(w http.ResponseWriter, r *http.Request, refusal *targetapi.TargetRefusal, status int) {
	t.mu.Lock()
	t.stats.Refused++
	t.mu.Unlock()
	if refusal.NotRun {
		t.ledger.countNotRun(code.Code(refusal.Code))
	}
	t.setHeaders(w, r)
	writeJSON(w, status, refusal)
}

// setHeaders sets the headers with the boot ID and the draining state. Clients can
// know the boot from then on, unless the connection is silent.
func (t *Target) setHeaders(w http.ResponseWriter, r *http.Request) {
	conn, _ := r.Context().Value(connKey{}).(*targetConn)
	t.mu.Lock()
	defer t.mu.Unlock()
	w.Header().Set(targetapi.HeaderBootID, t.bootID)
	if t.bootAnnounced.IsZero() && (conn == nil || !conn.silent.Load()) {
		t.bootAnnounced = time.Now()
	}
	if t.draining {
		w.Header().Set(targetapi.HeaderDraining, "true")
	}
}

// blockIfPartitioned blocks a request from a partitioned data centre until the
// client or the target ends it, and aborts it without a response.
func (t *Target) blockIfPartitioned(from string, r *http.Request) {
	vm := vmOf(r)
	t.mu.Lock()
	partitioned := slices.Contains(t.settings.partitionedDataCentres, from) || slices.Contains(t.settings.cutVMs, vm)
	resets := slices.Contains(t.settings.resetVMs, vm)
	ctx := t.ctx
	t.mu.Unlock()
	if resets {
		if c, ok := r.Context().Value(connKey{}).(*targetConn); ok {
			reset(c.Conn)
		}
		panic(http.ErrAbortHandler)
	}
	if !partitioned {
		return
	}
	select {
	case <-r.Context().Done():
	case <-ctx.Done():
	}
	panic(http.ErrAbortHandler)
}

// vmOf returns the VM of the relay that sent a request.
func vmOf(r *http.Request) string {
	vm, _, _ := strings.Cut(r.Header.Get(targetapi.HeaderRelay), "/")
	return vm
}

// drawServiceTime returns a random service time for the next request.
func (t *Target) drawServiceTime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.settings.serviceTime
	d := float64(s.Median) * math.Exp(serviceTimeSigma*t.rng.NormFloat64())
	if t.rng.Float64() < s.StragglerFraction {
		d *= s.StragglerFactor
	}
	return time.Duration(d)
}
