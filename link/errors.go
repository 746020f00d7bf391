package link

import (
	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/juju/errors"
)

// Errors of the link layer. Errors of the WebSocket library are turned into
// these, with the library's error as detail.
const (
	// ErrClosed tells that the link is closed; nothing was queued.
	ErrClosed = errors.ConstError("link is closed")
	// ErrFull tells that the send queue is full; nothing was queued.
	ErrFull = errors.ConstError("send queue of the link is full")
	// ErrNoCredit tells that the peer accepts no more sub-requests now.
	ErrNoCredit = errors.ConstError("peer grants no credit")
	// ErrSilent tells that the peer was not heard within the timeout.
	ErrSilent = errors.ConstError("peer is silent")
	// ErrUnknownPeer tells that no address is known for a process.
	ErrUnknownPeer = errors.ConstError("no address known for peer")
	// ErrReplaced tells that a newer run of the peer has connected.
	ErrReplaced = errors.ConstError("newer incarnation of the peer connected")
)

// RefusedError tells why the peer refused the link.
type RefusedError struct {
	Code   code.Code
	Detail string
}

// Error returns the code and the detail.
func (e *RefusedError) Error() string {
	return "peer refused the link: " + string(e.Code) + ": " + e.Detail
}
