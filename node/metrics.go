package node

import "expvar"

// metrics holds the counters of the membership, the folder and the VM list. It
// is published as "node".
var metrics = newMetrics()

type nodeMetrics struct {
	pauses         expvar.Int // detected pauses of the process
	heartbeats     expvar.Int // heartbeats sent
	serviceCalls   expvar.Int // calls of the configuration service
	serviceErrors  expvar.Int // failed calls of the configuration service
	listCalls      expvar.Int // reads of the VM list
	listErrors     expvar.Int // failed reads of the VM list
	revision       expvar.Int // folder revision in force
	rejected       expvar.Int // rejected revisions
	fromPeers      expvar.Int // accepted revisions that came from a peer
	copiesFromPeer expvar.Int // responses of peers with their copy of the VM list
}

func newMetrics() *nodeMetrics {
	m := &nodeMetrics{}
	published := expvar.NewMap("node")
	published.Set("gaps", &m.pauses)
	published.Set("heartbeats", &m.heartbeats)
	published.Set("service_calls", &m.serviceCalls)
	published.Set("service_errors", &m.serviceErrors)
	published.Set("list_calls", &m.listCalls)
	published.Set("list_errors", &m.listErrors)
	published.Set("revision", &m.revision)
	published.Set("rejected", &m.rejected)
	published.Set("revisions_from_peers", &m.fromPeers)
	published.Set("list_copies_from_peers", &m.copiesFromPeer)
	return m
}
