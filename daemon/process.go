package daemon

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/goldcrestmux/goldcrestmux/link"
	"github.com/goldcrestmux/goldcrestmux/node"
	"github.com/goldcrestmux/goldcrestmux/operator"
	"github.com/goldcrestmux/goldcrestmux/platformapi"
	"github.com/goldcrestmux/goldcrestmux/quarantine"
	"github.com/goldcrestmux/goldcrestmux/settings"
	"github.com/goldcrestmux/goldcrestmux/wire"
	"goji.io"
	"goji.io/pat"
	"gopkg.in/tomb.v2"
)

// closeTimeout bounds the wait for requests in progress when the listeners are
// closed.
const closeTimeout = time.Second

// process holds the parts that gateway and relay processes have in common.
type process struct {
	settings *settings.Settings
	self     wire.Process
	log      *slog.Logger
	started  time.Time
	tomb     tomb.Tomb
	pool     *link.Pool
	node     *node.Node
	guard    *quarantine.Guard
	servers  []*server
}

// newProcess returns a process with a link pool but without a node. The handler
// need not be complete before start is called.
func newProcess(s *settings.Settings, log *slog.Logger, h link.Handler) *process {
	id := newIdentity(s)
	started := time.Now()
	return &process{
		guard:    quarantine.NewGuard(quarantine.Options{Self: id.Name(), StartedAt: started}, log),
		settings: s,
		self:     id,
		log:      log,
		started:  started,
		pool: link.NewPool(link.Options{
			Self: id, Handler: h, Logger: log, Liveness: livenessOptions(s),
		}),
	}
}

// newNode creates the node, which reports changes through events.
func (p *process) newNode(persistentLinkRole wire.Role, events node.Events) {
	s := p.settings
	opts := node.Options{
		Self: p.self, Region: s.Region, Logger: p.log, Links: p.pool,
		VMListClient:       platformapi.NewVMListClient(platformapi.ClientOptions{Address: hostOf(s.VMListURL), DataCentre: s.DataCentre}),
		VMListPollInterval: s.VMListPollInterval, VMListMaxAge: s.VMListMaxAge,
		HeartbeatInterval: s.HeartbeatInterval, Peers: s.Peers, PersistentLinkRole: persistentLinkRole, Guard: p.guard, Events: events,
	}
	for _, url := range s.FolderURLs {
		client := platformapi.NewConfigClient(platformapi.ClientOptions{Address: hostOf(url), DataCentre: s.DataCentre})
		opts.ConfigClients = append(opts.ConfigClients, client)
	}
	p.node = node.New(opts)
}

func hostOf(url string) string { return strings.TrimSuffix(strings.TrimPrefix(url, "http://"), "/") }

// listen opens the listeners that every process has, and the extra ones of the
// role. They do not serve before start is called.
func (p *process) listen(level *slog.LevelVar, state func() any, extra ...endpoint) error {
	links := goji.NewMux()
	links.Handle(pat.Get(link.Path), p.pool)
	pages := operator.NewHandler(operator.Options{
		State: state, Members: p.node.Members, Level: level, Logger: p.log,
	})
	all := append([]endpoint{
		{name: "link", address: p.settings.LinkListen, handler: links},
		{name: "operator", address: p.settings.OperatorListen, handler: pages},
	}, extra...)
	for _, e := range all {
		srv, err := listen(e.name, e.address, e.handler)
		if err != nil {
			p.closeServers()
			return err
		}
		p.servers = append(p.servers, srv)
	}
	return nil
}

// endpoint describes a listener to open.
type endpoint struct {
	name    string
	address string
	handler http.Handler
}

func (p *process) start() {
	for _, s := range p.servers {
		s.start(&p.tomb)
	}
	logListening(p.log, p.servers...)
	p.node.Start()
}

func (p *process) dying() <-chan struct{} { return p.tomb.Dying() }

// closeServers closes every listener. After a graceful stop no request of a
// gateway's callers is in progress any more.
func (p *process) closeServers() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, s := range p.servers {
		s.stop(ctx)
	}
}

// close stops the parts that gateway and relay processes have in common. It
// returns the error of the listener that failed, if one did.
func (p *process) close() error {
	p.tomb.Kill(nil)
	p.node.Stop()
	p.pool.Close()
	p.closeServers()
	return p.tomb.Wait()
}

// ProcessState is the part of a state dump that gateways and relays have in common.
type ProcessState struct {
	Process    wire.Process `json:"process"`
	UptimeSecs int64        `json:"uptime_s"`
	Node       node.State   `json:"node"`
	Links      []LinkState  `json:"links"`
	// Quarantine lists the requests under which targets have ended.
	Quarantine []quarantine.SubjectState `json:"quarantine,omitempty"`
}

// LinkState describes one link in a state dump.
type LinkState struct {
	Peer        string `json:"peer"`
	Incarnation uint64 `json:"incarnation"`
	Dialled     bool   `json:"dialled"`
	Outstanding int    `json:"outstanding"`
}

func (p *process) state() ProcessState {
	s := ProcessState{
		Process:    p.self,
		UptimeSecs: int64(time.Since(p.started).Seconds()),
		Node:       p.node.State(),
		Quarantine: p.guard.States(time.Now()),
	}
	for _, l := range p.pool.Links() {
		s.Links = append(s.Links, LinkState{
			Peer:        l.Peer().Name(),
			Incarnation: l.Peer().Incarnation,
			Dialled:     l.Dialled(),
			Outstanding: l.Outstanding(),
		})
	}
	return s
}
