package ingress

import (
	"cmp"
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Limits that do not depend on the configuration.
const (
	// maxHeaderBytes bounds the headers that are read before the configured
	// limit applies.
	maxHeaderBytes = 64 << 10
	// defaultHeaderTimeout is used while no configured timeout is known.
	defaultHeaderTimeout = 10 * time.Second
	// drainPollInterval is the interval at which Drain checks for requests in
	// progress.
	drainPollInterval = 20 * time.Millisecond
	// drainIdleTime is how long a connection must have been idle, or accepted without a
	// request, before Drain closes it: its next request may be on its way.
	drainIdleTime = 150 * time.Millisecond
)

// Server accepts connections of callers and closes those that are idle or slow.
// It does not use the idle timeout of net/http, which may close a connection
// whose next request has just been read. Methods are safe for concurrent use.
//
// Lock order: mu is taken before the mutex of a connection.
type Server struct {
	http    *http.Server
	handler *Handler

	mu       sync.Mutex
	conns    map[*callerConn]struct{}
	listener net.Listener
	// closedIdle is the number of connections that were closed as idle.
	closedIdle int
}

// NewServer returns a Server that passes requests to h.
func NewServer(h *Handler) *Server {
	s := &Server{handler: h, conns: map[*callerConn]struct{}{}}
	s.http = &http.Server{
		Handler: h, MaxHeaderBytes: maxHeaderBytes,
		ConnState: s.trackConn, ConnContext: withConn, DisableGeneralOptionsHandler: true,
		// Errors of single connections are caused by callers and would flood the log.
		ErrorLog: log.New(io.Discard, "", 0),
	}
	return s
}

// connKey is the context key of the connection of a request.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Serve accepts connections from l until the server or the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	return s.http.Serve(callerListener{l})
}

func (s *Server) trackConn(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*callerConn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = struct{}{}
	case http.StateIdle:
		c.markIdle(time.Now())
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// CloseIdle closes the connections that have been idle since the given time or
// longer.
func (s *Server) CloseIdle(since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.closeIdle(since) {
			s.closedIdle++
		}
	}
}

// ClosedIdle returns the number of connections that were closed as idle since the start.
func (s *Server) ClosedIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closedIdle
}

// CloseSlow closes the connections whose request headers did not arrive within
// timeout; zero means defaultHeaderTimeout.
func (s *Server) CloseSlow(now time.Time, timeout time.Duration) {
	cutoff := now.Add(-cmp.Or(timeout, defaultHeaderTimeout))
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeSlow(cutoff)
	}
}

// InProgress returns the requests in progress, in no order. It includes those whose
// response is being written.
func (s *Server) InProgress() (requests []RequestInProgress) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if r, ok := c.inProgress(); ok {
			requests = append(requests, r)
		}
	}
	return requests
}

// InterruptBodies ends the reading of bodies: their requests are answered as if the body had
// not arrived in time.
func (s *Server) InterruptBodies() {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.interruptBody(now)
	}
}

// Drain closes the listener, and connections once they have been idle for a moment, and
// waits until the given time for the requests in progress. It returns those that are still in
// progress.
func (s *Server) Drain(until time.Time) (inProgress []RequestInProgress, err error) {
	s.handler.DisableKeepAlives()
	s.mu.Lock()
	if s.listener != nil {
		err = errors.Annotate(s.listener.Close(), "close the listener for callers")
	}
	s.mu.Unlock()
	for {
		s.CloseIdle(time.Now().Add(-drainIdleTime))
		if s.handler.Active() == 0 && s.OpenConnections() == 0 {
			return nil, err
		}
		if !time.Now().Before(until) {
			return s.InProgress(), err
		}
		time.Sleep(drainPollInterval)
	}
}

// Close closes the listener and all connections, also those with requests in
// progress.
func (s *Server) Close() error { return errors.Trace(s.http.Close()) }
