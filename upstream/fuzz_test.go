package upstream

import (
	"bytes"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// bytesConn is a connection on which data arrives and then ends.
type bytesConn struct {
	net.Conn
	data *bytes.Reader
}

func (c bytesConn) Read(p []byte) (int, error) { return c.data.Read(p) }

// FuzzTargetResponse reads responses of targets. Whatever a target sends, only its attempt
// may fail, and what is read is bounded.
func FuzzTargetResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nTest-Id: id\r\nTest-Seal: s\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x\r\nok\r\n0\r\nA: b\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 9999999999999\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 101 Switching\r\nKeep-Alive: timeout=99999999999\r\n\r\n"))
	f.Add([]byte("HTTP/0.9 \xff\r\n:\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		p := New(Options{Codec: testCodec{}})
		c := newConn(p, &Target{}, bytesConn{data: bytes.NewReader(data)})
		c.source.count = new(atomic.Int64)
		c.source.allowed = maxHeadBytes
		a := &Attempt{Call: &Call{ID: "id", Method: "GET"}, StartedAt: time.Now()}
		result, _, err := c.decodeResponse(a)
		if err == nil {
			keepAliveTimeout(result.Header)
			if len(result.Body) > maxResponseBytes {
				t.Errorf("body of %d bytes", len(result.Body))
			}
		}
		if n := p.buffered.Load(); n != 0 {
			t.Errorf("%d bytes count as buffered", n)
		}
	})
}
