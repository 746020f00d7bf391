package link

import "expvar"

// metrics counts what happens on all links of the process. The names are
// published under "link" by expvar.
var metrics = newMetrics()

type linkMetrics struct {
	framesSent     expvar.Int // frames written
	framesReceived expvar.Int // frames read, pings included
	bytesSent      expvar.Int // bytes of written frames
	silent         expvar.Int // links closed because the peer was silent
	dials          expvar.Int // attempts to dial a peer
	dialFailures   expvar.Int // attempts that failed
	refused        expvar.Int // handshakes that this process refused
}

func newMetrics() *linkMetrics {
	m := &linkMetrics{}
	published := expvar.NewMap("link")
	published.Set("frames_sent", &m.framesSent)
	published.Set("frames_received", &m.framesReceived)
	published.Set("bytes_sent", &m.bytesSent)
	published.Set("silent", &m.silent)
	published.Set("dials", &m.dials)
	published.Set("dial_failures", &m.dialFailures)
	published.Set("refused", &m.refused)
	return m
}
