package ingress

import (
	"io"
	"sync/atomic"

	"github.com/juju/errors"
)

// uncountedBodyBytes is the part of each body that does not count against
// Options.MaxBodiesBytes: requests with small bodies must not fail because of large ones.
const uncountedBodyBytes = 4 << 10

// errBodiesFull is returned if the bodies of all requests leave no memory for another one.
var errBodiesFull = errors.New("too many large bodies of requests in progress")

// heldBody counts the bytes of a request's body while the request is in progress.
type heldBody struct {
	io.ReadCloser
	used     *atomic.Int64 // by all bodies
	limit    int64         // zero for none
	received int64
	counted  int64
}

// Read reads from the body. It returns errBodiesFull if the limit is exceeded.
func (b *heldBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.received += int64(n)
	if more := b.received - uncountedBodyBytes - b.counted; more > 0 && b.limit > 0 {
		b.counted += more
		if b.used.Add(more) > b.limit {
			return 0, errBodiesFull
		}
	}
	return n, err
}

// release ends the counting, when the body is no longer held.
func (b *heldBody) release() { b.used.Add(-b.counted) }
