package node

import "expvar"

// metrics counts what the process does to follow the platform and its peers,
// published under "node".
var metrics = newMetrics()

type nodeMetrics struct {
	gaps           expvar.Int // times that the process was found to have been paused
	heartbeats     expvar.Int // heartbeats sent
	serviceCalls   expvar.Int // calls to the configuration service
	serviceErrors  expvar.Int // of these, failed ones
	listCalls      expvar.Int // reads of the VM list
	listErrors     expvar.Int // of these, failed ones
	revision       expvar.Int // folder revision in force
	rejected       expvar.Int // revisions rejected
	fromPeers      expvar.Int // revisions that came from a peer
	copiesFromPeer expvar.Int // copies of the VM list that came from a peer
}

func newMetrics() *nodeMetrics {
	m := &nodeMetrics{}
	published := expvar.NewMap("node")
	published.Set("gaps", &m.gaps)
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
