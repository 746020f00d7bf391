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
	"github.com/goldcrestmux/goldcrestmux/settings"
	"github.com/goldcrestmux/goldcrestmux/wire"
	"goji.io"
	"goji.io/pat"
	"gopkg.in/tomb.v2"
)

// closeTimeout bounds the closing of listeners once a process is idle.
const closeTimeout = time.Second

// process is what the processes of both roles share.
type process struct {
	settings *settings.Settings
	self     wire.Process
	log      *slog.Logger
	started  time.Time
	tomb     tomb.Tomb
	pool     *link.Pool
	node     *node.Node
	servers  []*server
}

// newProcess returns a process with links but without a node. The handler may
// be completed until start is called.
func newProcess(s *settings.Settings, log *slog.Logger, h link.Handler) *process {
	me := self(s)
	return &process{
		settings: s,
		self:     me,
		log:      log,
		started:  time.Now(),
		pool: link.NewPool(link.Options{
			Self: me, Handler: h, Logger: log, Liveness: livenessOptions(s),
		}),
	}
}

// newNode makes the node, which tells the role by events.
func (p *process) newNode(keep wire.Role, events node.Events) {
	s := p.settings
	opts := node.Options{
		Self: p.self, Region: s.Region, Logger: p.log, Links: p.pool,
		VMs:    platformapi.NewVMListClient(platformapi.ClientOptions{Address: hostOf(s.VMListURL), DataCentre: s.DataCentre}),
		VMPoll: s.VMListPollInterval, VMMaxAge: s.VMListMaxAge,
		Heartbeat: s.HeartbeatInterval, Peers: s.Peers, KeepLinks: keep, Events: events,
	}
	for _, url := range s.FolderURLs {
		client := platformapi.NewConfigClient(platformapi.ClientOptions{Address: hostOf(url), DataCentre: s.DataCentre})
		opts.Folders = append(opts.Folders, client)
	}
	p.node = node.New(opts)
}

func hostOf(url string) string { return strings.TrimSuffix(strings.TrimPrefix(url, "http://"), "/") }

// listen opens the listeners that every process has, and those of the role.
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

// endpoint is a listener to open.
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

// closeServers closes every listener. A gateway's callers have been answered by
// then, unless the stop is not a graceful one.
func (p *process) closeServers() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, s := range p.servers {
		s.stop(ctx)
	}
}

// close ends what processes of both roles have.
func (p *process) close() error {
	p.tomb.Kill(nil)
	p.node.Stop()
	p.pool.Close()
	p.closeServers()
	return p.tomb.Wait()
}

// ProcessState is the part of a dump that is alike for both roles.
type ProcessState struct {
	Process    wire.Process `json:"process"`
	UptimeSecs int64        `json:"uptime_s"`
	Node       node.State   `json:"node"`
	Links      []LinkState  `json:"links"`
}

// LinkState is one link in a dump.
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
