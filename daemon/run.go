package daemon

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/goldcrestmux/goldcrestmux/admission"
	"github.com/goldcrestmux/goldcrestmux/gateway"
	"github.com/goldcrestmux/goldcrestmux/hedge"
	"github.com/goldcrestmux/goldcrestmux/link"
	"github.com/goldcrestmux/goldcrestmux/platform"
	"github.com/goldcrestmux/goldcrestmux/relay"
	"github.com/goldcrestmux/goldcrestmux/settings"
	"github.com/goldcrestmux/goldcrestmux/wire"
	"github.com/juju/errors"
	"goji.io"
	"goji.io/pat"
	"gopkg.in/tomb.v2"
)

// Run runs the program with the given name until a signal stops it, and
// returns its exit code. The role follows from the name.
func Run(name string, args []string, stderr io.Writer) int {
	s, err := settings.Parse(name, args, stderr)
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	log, _ := s.Logger(stderr)
	relaxCollector()
	if s.Role == wire.RoleGateway {
		err = runGateway(s, log)
	} else {
		err = runRelay(s, log)
	}
	if err != nil {
		log.Error("stopped", "error", err)
		return ExitFailure
	}
	return ExitOK
}

func runGateway(s *settings.Settings, log *slog.Logger) error {
	var t tomb.Tomb
	me := self(s)
	h := &gatewayLinks{}
	pool := link.NewPool(link.Options{Self: me, Handler: h, Logger: log, Liveness: livenessOptions(s)})
	g := gateway.New(gateway.Options{
		Self: me, Logger: log, Links: pool, MaxBody: int64(s.MaxBodyBytes),
		Admission: admission.Options{MaxLimit: s.Concurrency, MaxQueue: s.QueueLength},
		Hedge:     hedge.Options{Mode: hedge.Mode(s.Hedging)},
		Ready:     func() (bool, string) { return true, "" },
	})
	h.gateway = g
	mux := goji.NewMux()
	mux.Handle(pat.Get(link.Path), pool)
	links, err := listen("link", s.LinkListen, mux)
	if err != nil {
		return err
	}
	api, err := listen("api", s.APIListen, g)
	if err != nil {
		return err
	}
	logListening(log, links, api)
	f := newFollower(s, log)
	f.onContracts = g.SetContracts
	f.onView = func(list platform.VMList, _ time.Time) { pool.SetPeers(relayPeers(list)) }
	f.start(&t)
	links.start(&t)
	api.start(&t)
	select {
	case <-signals():
	case <-t.Dying():
	}
	g.Leave()
	ctx, cancel := context.WithTimeout(context.Background(), s.StopTimeout)
	defer cancel()
	api.stop(ctx)
	t.Kill(nil)
	links.stop(ctx)
	pool.Close()
	g.Close()
	return t.Wait()
}

func relayPeers(list platform.VMList) map[string]link.Peer {
	peers := make(map[string]link.Peer)
	for _, vm := range list.VMs {
		if addr, ok := vm.Links[wire.RoleRelay]; ok {
			peers[wire.Process{VM: vm.Name, Role: wire.RoleRelay}.Name()] = link.Peer{Address: addr, Keep: true}
		}
	}
	return peers
}

func runRelay(s *settings.Settings, log *slog.Logger) error {
	var t tomb.Tomb
	me := self(s)
	h := &relayLinks{}
	pool := link.NewPool(link.Options{Self: me, Handler: h, Logger: log, Liveness: livenessOptions(s)})
	r, err := relay.New(relay.Options{
		Self: me, Logger: log, Links: pool, Workers: s.Workers, QueuePerTarget: s.TargetQueue,
		Permit: s.PermitOptions(), PerVM: s.Permits == settings.PermitsPerVM,
	})
	if err != nil {
		return err
	}
	h.relay = r
	mux := goji.NewMux()
	mux.Handle(pat.Get(link.Path), pool)
	links, err := listen("link", s.LinkListen, mux)
	if err != nil {
		return err
	}
	logListening(log, links)
	f := newFollower(s, log)
	f.onContracts = r.SetContracts
	f.onView = func(list platform.VMList, asOf time.Time) {
		peers := relayPeers(list)
		for name, p := range peers {
			p.Keep = false
			peers[name] = p
		}
		pool.SetPeers(peers)
		r.SetView(list, asOf)
	}
	f.start(&t)
	links.start(&t)
	select {
	case <-signals():
	case <-t.Dying():
	}
	t.Kill(nil)
	pool.Close()
	r.Close()
	links.stop(context.Background())
	return t.Wait()
}
