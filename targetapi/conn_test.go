package targetapi

import (
	"net"
	"testing"
	"time"

	"github.com/juju/errors"
)

// brokenConn is a connection whose Write reports some bytes as written and fails.
type brokenConn struct {
	net.Conn
	written int
}

func (c *brokenConn) Write([]byte) (int, error) { return c.written, errors.New("broken") }
func (c *brokenConn) Close() error              { return nil }

func TestSentMeansThatAByteMayHaveLeft(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name     string
		deadline time.Duration
		age      time.Duration
		pooled   bool
		before   func(c *clientConn, e *exchange)
		written  int
		sent     bool
	}{
		{"some bytes written", time.Hour, 0, true, nil, 3, true},
		{"no byte written", time.Hour, 0, true, nil, 0, false},
		{"deadline passed", -time.Hour, 0, true, nil, 3, false},
		{"withdrawn", time.Hour, 0, true, func(_ *clientConn, e *exchange) { e.withdraw() }, 3, false},
		{"too old", time.Hour, time.Hour, true, nil, 3, false},
		{"old but new to the pool", time.Hour, time.Hour, false, nil, 3, true},
		{"retired", time.Hour, time.Second, true, func(c *clientConn, _ *exchange) { c.dialer.retireBefore(now) }, 3, false},
		{"discarded after a bad response", time.Hour, 0, true, func(c *clientConn, _ *exchange) { c.discard() }, 3, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := &TargetClientOptions{}
			o.setDefaults()
			c := &clientConn{Conn: &brokenConn{written: test.written}, dialer: newDialer(o), opened: now.Add(-test.age), lastUsed: now}
			e := &exchange{deadline: now.Add(test.deadline)}
			c.assign(e, test.pooled)
			if test.before != nil {
				test.before(c, e)
			}
			if _, err := c.Write([]byte("request")); err == nil {
				t.Fatal("the write succeeded, want an error")
			}
			if _, _, sent, _ := e.state(); sent != test.sent {
				t.Fatalf("sent is %v, want the opposite", sent)
			}
		})
	}
}
