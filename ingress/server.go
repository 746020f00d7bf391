package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Bounds of the server, whatever the configuration says.
const (
	// maxHeaderBytes bounds what is read before the configured limit is known.
	maxHeaderBytes = 64 << 10
	// readHeaderTimeout ends connections whose request's headers don't come.
	readHeaderTimeout = 10 * time.Second
)

// Server accepts connections of callers and closes them when they are idle.
//
// Lock order: mu is taken with no other lock held, and none is taken under it.
type Server struct {
	http *http.Server

	mu   sync.Mutex
	idle map[net.Conn]time.Time
	open int
}

// NewServer returns a server for a handler.
func NewServer(h http.Handler) *Server {
	s := &Server{idle: map[net.Conn]time.Time{}}
	s.http = &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: s.track, DisableGeneralOptionsHandler: true, ErrorLog: nil,
	}
	return s
}

// Serve accepts connections until the server is closed.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(l) }

func (s *Server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.open++
		s.idle[c] = time.Now()
	case http.StateIdle:
		s.idle[c] = time.Now()
	case http.StateActive:
		delete(s.idle, c)
	case http.StateClosed, http.StateHijacked:
		delete(s.idle, c)
		s.open--
	}
}

// Open returns the number of connections.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

// CloseIdle closes the connections that have had no request since a time.
func (s *Server) CloseIdle(since time.Time) {
	s.mu.Lock()
	var old []net.Conn
	for c, at := range s.idle {
		if at.Before(since) {
			old = append(old, c)
			delete(s.idle, c)
		}
	}
	s.mu.Unlock()
	for _, c := range old {
		_ = c.Close() // the caller sees the end
	}
}

// LastRequests makes each connection end with its next answer, and closes the
// idle ones.
func (s *Server) LastRequests() { s.http.SetKeepAlivesEnabled(false) }

// Shutdown accepts no more connections and waits for the requests in progress.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Close closes everything at once.
func (s *Server) Close() error { return s.http.Close() }
