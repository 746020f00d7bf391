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

// Bounds of the server, whatever the configuration says.
const (
	// maxHeaderBytes bounds what is read before the configured limit is known.
	maxHeaderBytes = 64 << 10
	// defaultHeaderTimeout is used while no configured one is known.
	defaultHeaderTimeout = 10 * time.Second
	// stopPoll is the interval at which a stopping server looks for work.
	stopPoll = 20 * time.Millisecond
)

// Server accepts connections of callers and closes them when they are idle.
// It doesn't use the library's own closing of idle connections, which may
// close one whose request has just been read.
//
// Lock order: mu is taken before the mutex of a connection.
type Server struct {
	http    *http.Server
	handler *Handler

	mu       sync.Mutex
	conns    map[*callerConn]struct{}
	listener net.Listener
}

// NewServer returns a server for a handler.
func NewServer(h *Handler) *Server {
	s := &Server{handler: h, conns: map[*callerConn]struct{}{}}
	s.http = &http.Server{
		Handler: h, MaxHeaderBytes: maxHeaderBytes,
		ConnState: s.track, ConnContext: withConn, DisableGeneralOptionsHandler: true,
		// Faults of single connections are the callers' and would flood the log.
		ErrorLog: log.New(io.Discard, "", 0),
	}
	return s
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Serve accepts connections until the server is closed.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	return s.http.Serve(listener{l})
}

func (s *Server) track(nc net.Conn, state http.ConnState) {
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
		c.rest(time.Now())
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// OpenConnections returns the number of connections.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// CloseIdle closes the connections that have had no request since a time.
func (s *Server) CloseIdle(since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIdle(since)
	}
}

// CloseSlow closes the connections of callers whose request's headers have not
// been complete within a limit; zero means the default.
func (s *Server) CloseSlow(now time.Time, limit time.Duration) {
	since := now.Add(-cmp.Or(limit, defaultHeaderTimeout))
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeSlow(since)
	}
}

// Drain accepts no more connections, closes idle ones, and waits for the
// requests in progress until a time. It reports how many were left.
func (s *Server) Drain(until time.Time) (left int, err error) {
	s.handler.DisableKeepAlives()
	s.mu.Lock()
	if s.listener != nil {
		err = errors.Annotate(s.listener.Close(), "close the listener for callers")
	}
	s.mu.Unlock()
	for {
		s.CloseIdle(time.Now())
		if s.handler.Active() == 0 && s.OpenConnections() == 0 {
			return 0, err
		}
		if !time.Now().Before(until) {
			return int(s.handler.Active()), err
		}
		time.Sleep(stopPoll)
	}
}

// Close closes everything at once.
func (s *Server) Close() error { return errors.Trace(s.http.Close()) }
