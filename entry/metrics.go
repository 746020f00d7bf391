package entry

import (
	"expvar"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/delegate"
	"github.com/goldcrestmux/goldcrestmux/forward"
	"github.com/goldcrestmux/goldcrestmux/ingress"
	"github.com/goldcrestmux/goldcrestmux/operator"
	"github.com/juju/errors"
	"goji.io"
	"goji.io/pat"
)

// metrics holds the counters of a process.
type metrics struct {
	responses   *expvar.Map // by status
	reasons     *expvar.Map // by reason
	latency     *expvar.Map // responses by exclusive upper bound of their latency in milliseconds
	connections *expvar.Map // by event
	delegated   *expvar.Map // sharded requests that were handed to peers that gather, by result
	detours     *expvar.Map // requests that were handed to peers as no target was reached, by result
	keysRefused *expvar.Map // requests that were refused for their key, by cause
	partial     *expvar.Int
	late        *expvar.Int
}

// latencyBoundsMs are the upper bounds of the latency histogram, in milliseconds.
var latencyBoundsMs = []int{5, 10, 20, 30, 50, 75, 100, 150, 200, 300, 500, 1000, 2000, 5000}

func newMetrics() *metrics {
	m := &metrics{
		responses: new(expvar.Map).Init(), reasons: new(expvar.Map).Init(), latency: new(expvar.Map).Init(),
		connections: new(expvar.Map).Init(), delegated: new(expvar.Map).Init(), detours: new(expvar.Map).Init(), keysRefused: new(expvar.Map).Init(), partial: new(expvar.Int), late: new(expvar.Int),
	}
	return m
}

// publishOnce guards the names in package expvar, which are global to the process.
var publishOnce sync.Once

// publish adds the metrics and the state to the page of package expvar.
func (m *metrics) publish(p *process) {
	publishOnce.Do(func() { m.publishAll(p) })
}

func (m *metrics) publishAll(p *process) {
	expvar.Publish("answers", m.responses)
	expvar.Publish("reasons", m.reasons)
	expvar.Publish("latency_ms", m.latency)
	expvar.Publish("connections", m.connections)
	expvar.Publish("delegated", m.delegated)
	expvar.Publish("detours", m.detours)
	expvar.Publish("keys_refused", m.keysRefused)
	expvar.Publish("partial_answers", m.partial)
	expvar.Publish("late_answers", m.late)
	expvar.Publish("log_lines_dropped", expvar.Func(func() any { return p.adapter.DroppedLogLines() }))
	expvar.Publish("learned_capacity", expvar.Func(func() any { return p.pool.CapacityStats(time.Now()) }))
	expvar.Publish("requests_over_quota", expvar.Func(func() any { return p.quotas.counts().OverQuota }))
	expvar.Publish("quota_requests", expvar.Func(func() any { return p.quotas.counts() }))
	expvar.Publish("admission", expvar.Func(func() any { return p.engine.AdmissionState() }))
	expvar.Publish("state", expvar.Func(p.state))
}

func (m *metrics) observeConnection(event string) { m.connections.Add(event, 1) }

var delegationNames = map[delegate.Result]string{
	delegate.Responded: "answered", delegate.Refused: "refused", delegate.Lost: "lost", delegate.Late: "late", delegate.Canceled: "caller left",
	delegate.Overloaded: "overloaded",
}

func (m *metrics) observeDelegation(result delegate.Result) {
	m.delegated.Add(delegationNames[result], 1)
}

func (m *metrics) observeDetour(result delegate.Result) {
	m.detours.Add(delegationNames[result], 1)
}

func (m *metrics) observe(route *catalog.Route, resp *forward.Response, took time.Duration) {
	m.responses.Add(strconv.Itoa(resp.Status), 1)
	if resp.Reason != "" {
		m.reasons.Add(resp.Reason, 1)
		if cause, ok := ingress.RefusedKey(resp.Reason); ok {
			m.keysRefused.Add(cause, 1)
		}
	}
	if resp.Missing > 0 {
		m.partial.Add(1)
	}
	if route != nil && route.LatencyObjective > 0 && took > route.LatencyObjective {
		m.late.Add(1)
	}
	ms := int(took.Milliseconds())
	for _, bound := range latencyBoundsMs {
		if ms < bound {
			m.latency.Add(strconv.Itoa(bound), 1)
			return
		}
	}
	m.latency.Add("more", 1)
}

// startMetrics serves the metrics and the state. A failure to listen is only
// logged: callers can be served without them.
func (p *process) startMetrics() {
	p.metrics.publish(p)
	if p.settings.MetricsListen == "" {
		return
	}
	l, err := listen("metrics", p.settings.MetricsListen)
	if err != nil {
		p.log.Warn("listening for metrics failed; metrics are not served", "error", err)
		return
	}
	mux := goji.NewMux()
	mux.Handle(pat.Get(operator.PathMetrics), expvar.Handler())
	mux.HandleFunc(pat.Get(operator.PathExplain), p.serveExplanation)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: defaultTimeout}
	p.tomb.Go(func() error { return serveError(server.Serve(l), "metrics") })
	p.tomb.Go(func() error {
		<-p.tomb.Dying()
		return errors.Trace(server.Close())
	})
}
