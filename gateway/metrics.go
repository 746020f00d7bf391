package gateway

import "expvar"

// metrics holds the gateway's counters, which expvar publishes under "gateway".
var metrics = newMetrics()

type gatewayMetrics struct {
	requests         expvar.Int // requests received
	successes        expvar.Int // requests with a response of status 200
	partialResponses expvar.Int // responses with incomplete coverage
	missingShards    expvar.Map // shards missing from responses, by reason
	errors           expvar.Map // requests with an error response, by code
	attempts         expvar.Int // sub-requests sent
	extraAttempts    expvar.Int // of these, hedges and retries that draw on the retry budget
	deniedExtras     expvar.Map // extra attempts that were due but reached no target, by reason
	restarts         expvar.Int // queries restarted on another index version
	strayResponses   expvar.Int // responses to queries that have ended
}

// searchBudgetExhausted is the reason in deniedExtras for an extra attempt that
// was not sent because the search's retry budget was exhausted. The other reasons
// are codes.
const searchBudgetExhausted = "search_budget"

func newMetrics() *gatewayMetrics {
	m := &gatewayMetrics{}
	published := expvar.NewMap("gateway")
	published.Set("requests", &m.requests)
	published.Set("answers", &m.successes)
	published.Set("partial", &m.partialResponses)
	published.Set("missing", &m.missingShards)
	published.Set("errors", &m.errors)
	published.Set("attempts", &m.attempts)
	published.Set("extras", &m.extraAttempts)
	published.Set("denied", &m.deniedExtras)
	published.Set("restarts", &m.restarts)
	published.Set("stray", &m.strayResponses)
	return m
}
