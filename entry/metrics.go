package entry

import (
	"expvar"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/forward"
	"github.com/goldcrestmux/goldcrestmux/operator"
	"github.com/juju/errors"
	"goji.io"
	"goji.io/pat"
)

// metrics are the counters of a process.
type metrics struct {
	answers     *expvar.Map // by status
	reasons     *expvar.Map // by reason
	latency     *expvar.Map // cumulative, by upper bound in milliseconds
	connections *expvar.Map // by event
	partial     *expvar.Int
	late        *expvar.Int
}

// latencyBounds are the upper bounds of the latency histogram, in milliseconds.
var latencyBounds = []int{5, 10, 20, 30, 50, 75, 100, 150, 200, 300, 500, 1000, 2000, 5000}

func newMetrics() *metrics {
	m := &metrics{
		answers: new(expvar.Map).Init(), reasons: new(expvar.Map).Init(), latency: new(expvar.Map).Init(),
		connections: new(expvar.Map).Init(), partial: new(expvar.Int), late: new(expvar.Int),
	}
	return m
}

// publishOnce guards the names of the page, which are global.
var publishOnce sync.Once

// publish makes the metrics part of the page.
func (m *metrics) publish(e *Entry) {
	publishOnce.Do(func() { m.publishAll(e) })
}

func (m *metrics) publishAll(e *Entry) {
	expvar.Publish("answers", m.answers)
	expvar.Publish("reasons", m.reasons)
	expvar.Publish("latency_ms", m.latency)
	expvar.Publish("connections", m.connections)
	expvar.Publish("partial_answers", m.partial)
	expvar.Publish("late_answers", m.late)
	expvar.Publish("log_lines_dropped", expvar.Func(func() any { return e.adapter.DroppedLogLines() }))
	expvar.Publish("state", expvar.Func(e.dump))
}

func (m *metrics) connection(what string) { m.connections.Add(what, 1) }

func (m *metrics) observe(route *catalog.Route, a *forward.Response, took time.Duration) {
	m.answers.Add(strconv.Itoa(a.Status), 1)
	if a.Reason != "" {
		m.reasons.Add(a.Reason, 1)
	}
	if a.Missing > 0 {
		m.partial.Add(1)
	}
	if route != nil && route.LatencyObjective > 0 && took > route.LatencyObjective {
		m.late.Add(1)
	}
	ms := int(took.Milliseconds())
	for _, bound := range latencyBounds {
		if ms < bound {
			m.latency.Add(strconv.Itoa(bound), 1)
			return
		}
	}
	m.latency.Add("more", 1)
}

// startMetrics serves the metrics and the state. They are of help only, so a
// port in use is told and no failure.
func (e *Entry) startMetrics() {
	e.metrics.publish(e)
	if e.settings.MetricsListen == "" {
		return
	}
	l, err := listen("metrics", e.settings.MetricsListen)
	if err != nil {
		e.log.Warn("metrics are not served", "error", err)
		return
	}
	mux := goji.NewMux()
	mux.Handle(pat.Get(operator.PathMetrics), expvar.Handler())
	server := &http.Server{Handler: mux, ReadHeaderTimeout: defaultWait}
	e.tomb.Go(func() error { return served(server.Serve(l), "metrics") })
	e.tomb.Go(func() error {
		<-e.tomb.Dying()
		return errors.Trace(server.Close())
	})
}
