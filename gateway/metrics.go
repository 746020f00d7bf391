package gateway

import "expvar"

// metrics counts the requests of the process's gateway, published under "gateway".
var metrics = newMetrics()

type gatewayMetrics struct {
	requests expvar.Int // requests received
	answers  expvar.Int // requests answered with 200
	partial  expvar.Int // answers with less than complete coverage
	missing  expvar.Map // shards missing from answers, by reason
	errors   expvar.Map // requests answered with an error, by code
	attempts expvar.Int // sub-requests sent
	extras   expvar.Int // of these, hedges and budgeted retries
	denied   expvar.Map // extras that were due and not sent, by reason
	restarts expvar.Int // queries restarted on another index version
	stray    expvar.Int // replies to queries that have ended
}

// deniedBySearch is the reason for an extra attempt that was not sent because
// the search's budget was used up. Other reasons are codes.
const deniedBySearch = "search_budget"

func newMetrics() *gatewayMetrics {
	m := &gatewayMetrics{}
	published := expvar.NewMap("gateway")
	published.Set("requests", &m.requests)
	published.Set("answers", &m.answers)
	published.Set("partial", &m.partial)
	published.Set("missing", &m.missing)
	published.Set("errors", &m.errors)
	published.Set("attempts", &m.attempts)
	published.Set("extras", &m.extras)
	published.Set("denied", &m.denied)
	published.Set("restarts", &m.restarts)
	published.Set("stray", &m.stray)
	return m
}
