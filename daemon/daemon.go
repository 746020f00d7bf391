// Package daemon runs a gateway or relay process: it sets up the listeners, the
// links to other processes, the node that follows the platform, and the gateway or
// relay itself, and stops them gracefully.
package daemon

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/goldcrestmux/goldcrestmux/link"
	"github.com/goldcrestmux/goldcrestmux/settings"
	"github.com/goldcrestmux/goldcrestmux/wire"
	"github.com/juju/errors"
	"gopkg.in/tomb.v2"
)

// Exit codes of a process.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
	// ExitAborted means that work in progress was aborted because the graceful
	// stop reached its timeout or a second signal arrived.
	ExitAborted = 3
)

// server is one HTTP listener of a process.
type server struct {
	name     string
	listener net.Listener
	http     *http.Server
}

// listen opens a listener for a handler.
func listen(name, address string, h http.Handler) (*server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "listen for %s on %s", name, address)
	}
	return &server{
		name:     name,
		listener: l,
		http:     &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout},
	}, nil
}

// readHeaderTimeout bounds the time that a client may take to send its headers.
const readHeaderTimeout = 5 * time.Second

func (s *server) address() string { return s.listener.Addr().String() }

// start serves requests in a goroutine of t until stop is called. t dies if serving
// fails.
func (s *server) start(t *tomb.Tomb) {
	t.Go(func() error {
		err := s.http.Serve(s.listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return errors.Annotatef(err, "serve %s", s.name)
	})
}

// stop closes the listener and waits for requests in progress. When ctx ends, it
// closes their connections.
func (s *server) stop(ctx context.Context) {
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
	}
}

// newIdentity returns the identity of this incarnation of the process.
func newIdentity(s *settings.Settings) wire.Process {
	return wire.Process{
		VM:          s.VM,
		Role:        s.Role,
		DataCentre:  s.DataCentre,
		Incarnation: uint64(time.Now().UnixNano()),
	}
}

// stopSignals returns a channel that receives the signals that stop the process.
func stopSignals() <-chan os.Signal {
	ch := make(chan os.Signal, 2)
	signal.Notify(ch, syscall.SIGTERM, os.Interrupt)
	return ch
}

// livenessOptions derives the liveness timeouts of links from the heartbeat
// interval.
func livenessOptions(s *settings.Settings) link.LivenessOptions {
	return link.LivenessOptions{IdlePing: idlePingHeartbeats * s.HeartbeatInterval, IdleTimeout: 2 * idlePingHeartbeats * s.HeartbeatInterval}
}

// idlePingHeartbeats is the number of heartbeat intervals after which an idle
// link is pinged.
const idlePingHeartbeats = 10

func logListening(log *slog.Logger, servers ...*server) {
	for _, s := range servers {
		log.Info("listening", "on", s.name, "address", s.address())
	}
}
