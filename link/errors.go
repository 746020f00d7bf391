package link

import (
	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/juju/errors"
)

// Errors of links. Errors of the WebSocket library are converted to these, with
// the library's error as detail.
const (
	// ErrClosed is returned if the link is closed; nothing was queued.
	ErrClosed = errors.ConstError("link is closed")
	// ErrFull is returned if the send queue is full; nothing was queued.
	ErrFull = errors.ConstError("send queue of the link is full")
	// ErrNoCredit is returned if the peer accepts no more sub-requests now; nothing
	// was queued.
	ErrNoCredit = errors.ConstError("peer grants no credit")
	// ErrUnreadable is returned for a query that the peer, of a former build, could not
	// decode; nothing was queued.
	ErrUnreadable = errors.ConstError("peer of a former build cannot decode the query")
	// ErrSilent is the reason of a link that was closed because no frame was
	// received within the timeout.
	ErrSilent = errors.ConstError("peer is silent")
	// ErrUnknownPeer is returned if no address of the process is known.
	ErrUnknownPeer = errors.ConstError("no address known for peer")
	// ErrReplaced is the reason of a link that was closed because a newer
	// incarnation of the peer connected.
	ErrReplaced = errors.ConstError("newer incarnation of the peer connected")
)

// RefusedError is the error of a link that one end refused in the handshake.
type RefusedError struct {
	Code   code.Code
	Detail string
}

// Error returns the code and the detail.
func (e *RefusedError) Error() string {
	return "link refused in the handshake: " + string(e.Code) + ": " + e.Detail
}
