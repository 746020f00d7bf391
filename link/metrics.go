package link

import "expvar"

// metrics holds the counters of all links of the process. Expvar publishes them
// under "link".
var metrics = newMetrics()

type linkMetrics struct {
	framesSent     expvar.Int // frames written
	framesReceived expvar.Int // frames read, pings included
	bytesSent      expvar.Int // bytes of written frames
	silent         expvar.Int // links closed because no frame was received within the timeout
	dials          expvar.Int // dials of peers
	dialFailures   expvar.Int // dials that failed, in the handshake or before
	refused        expvar.Int // accepted connections whose handshake failed
	undecodable    expvar.Int // received messages, or whole frames, that could not be decoded and were skipped
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
	published.Set("undecodable", &m.undecodable)
	return m
}
