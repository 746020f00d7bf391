package daemon

import (
	"github.com/goldcrestmux/goldcrestmux/gateway"
	"github.com/goldcrestmux/goldcrestmux/link"
	"github.com/goldcrestmux/goldcrestmux/relay"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// gatewayLinks passes what happens on a gateway's links on.
type gatewayLinks struct{ gateway *gateway.Gateway }

func (h *gatewayLinks) Up(l *link.Link)                    { h.gateway.Up(l) }
func (h *gatewayLinks) Frame(l *link.Link, f *wire.Frame)  { h.gateway.Frame(l, f) }
func (h *gatewayLinks) Dropped(l *link.Link, b wire.Batch) { h.gateway.Dropped(l, b) }
func (h *gatewayLinks) Down(l *link.Link, _ error)         { h.gateway.Down(l) }

// relayLinks passes what happens on a relay's links on.
type relayLinks struct{ relay *relay.Relay }

func (h *relayLinks) Up(l *link.Link)                   { h.relay.Up(l) }
func (h *relayLinks) Frame(l *link.Link, f *wire.Frame) { h.relay.Frame(l, f) }
func (h *relayLinks) Dropped(*link.Link, wire.Batch)    {}
func (h *relayLinks) Down(l *link.Link, _ error)        { h.relay.Down(l) }
