package upstream

import "sync/atomic"

// Traffic is the number of bytes exchanged with targets, without the overhead of TCP.
// Remote targets are those in other data centres.
type Traffic struct {
	SentLocal      int64 `json:"sent_local"`
	SentRemote     int64 `json:"sent_remote"`
	ReceivedLocal  int64 `json:"received_local"`
	ReceivedRemote int64 `json:"received_remote"`
}

type traffic struct{ sentLocal, sentRemote, receivedLocal, receivedRemote atomic.Int64 }

func (t *traffic) sent(remote bool) *atomic.Int64 {
	if remote {
		return &t.sentRemote
	}
	return &t.sentLocal
}

func (t *traffic) received(remote bool) *atomic.Int64 {
	if remote {
		return &t.receivedRemote
	}
	return &t.receivedLocal
}

// Traffic returns the bytes exchanged with targets since the start.
func (p *Pool) Traffic() Traffic {
	t := &p.traffic
	return Traffic{
		SentLocal: t.sentLocal.Load(), SentRemote: t.sentRemote.Load(),
		ReceivedLocal: t.receivedLocal.Load(), ReceivedRemote: t.receivedRemote.Load(),
	}
}
