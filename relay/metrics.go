package relay

import "expvar"

// metrics counts the sub-requests of the relay of this process. It is published as
// the expvar map "relay".
var metrics = newMetrics()

type relayMetrics struct {
	received expvar.Int // sub-requests received
	sent     expvar.Int // requests passed to target clients
	resent   expvar.Int // of these, sent again because a connection was silent
	refused  expvar.Map // sub-requests refused as not run, by code
	outcomes expvar.Map // completed requests to targets, by code
}

func newMetrics() *relayMetrics {
	m := &relayMetrics{}
	published := expvar.NewMap("relay")
	published.Set("received", &m.received)
	published.Set("sent", &m.sent)
	published.Set("resent", &m.resent)
	published.Set("refused", &m.refused)
	published.Set("outcomes", &m.outcomes)
	return m
}
