package link

import (
	"context"
	"fmt"

	"github.com/coder/websocket"
	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/wire"
	"github.com/juju/errors"
)

// dialHandshake sends a Hello on a dialled connection and returns the peer's.
func (p *Pool) dialHandshake(ctx context.Context, conn *websocket.Conn, name string) (*wire.Hello, error) {
	if err := writeHello(ctx, conn, p.hello(name)); err != nil {
		return nil, err
	}
	hello, err := readHello(ctx, conn)
	if err != nil {
		return nil, err
	}
	if hello.Process.Name() != name {
		return nil, errors.Errorf("connected to %s instead of %s", hello.Process.Name(), name)
	}
	return hello, nil
}

// acceptHandshake reads the Hello of a peer that dialled, checks it and responds
// with a Hello or a refusal.
func (p *Pool) acceptHandshake(ctx context.Context, conn *websocket.Conn) (*wire.Hello, error) {
	hello, err := readHello(ctx, conn)
	if err != nil {
		return nil, err
	}
	if refusal := p.checkHello(hello); refusal != nil {
		_ = writeFrame(ctx, conn, &wire.Frame{Refusal: refusal})
		return nil, &RefusedError{Code: refusal.Code, Detail: refusal.Detail}
	}
	if err := writeHello(ctx, conn, p.hello(hello.Process.Name())); err != nil {
		return nil, err
	}
	return hello, nil
}

// checkHello returns the refusal of an incompatible or misdirected peer, or nil.
func (p *Pool) checkHello(h *wire.Hello) *wire.ProtocolRefusal {
	if h.MaxVersion < wire.MinVersion || h.MinVersion > wire.MaxVersion {
		return &wire.ProtocolRefusal{
			Code: code.ProtocolMismatch,
			Detail: fmt.Sprintf("peer speaks versions %d to %d, this process %d to %d",
				h.MinVersion, h.MaxVersion, wire.MinVersion, wire.MaxVersion),
		}
	}
	if h.Peer != p.opts.Self.Name() {
		return &wire.ProtocolRefusal{
			Code:   code.ProtocolMismatch,
			Detail: fmt.Sprintf("this is %s, not %s", p.opts.Self.Name(), h.Peer),
		}
	}
	return nil
}

func (p *Pool) hello(peer string) *wire.Hello {
	return &wire.Hello{
		MinVersion: wire.MinVersion,
		MaxVersion: wire.MaxVersion,
		Process:    p.opts.Self,
		Peer:       peer,
		Credit:     p.opts.Credit,
		Bytes:      true,
	}
}

func writeHello(ctx context.Context, conn *websocket.Conn, h *wire.Hello) error {
	return writeFrame(ctx, conn, &wire.Frame{Hello: h})
}

func writeFrame(ctx context.Context, conn *websocket.Conn, f *wire.Frame) error {
	data, err := wire.Encode(f)
	if err != nil {
		return err
	}
	return errors.Annotate(conn.Write(ctx, websocket.MessageBinary, data), "write handshake")
}

func readHello(ctx context.Context, conn *websocket.Conn) (*wire.Hello, error) {
	_, data, err := conn.Read(ctx)
	if err != nil {
		return nil, errors.Annotate(err, "read handshake")
	}
	f, err := wire.Decode(data)
	if err != nil {
		return nil, err
	}
	if f.Refusal != nil {
		return nil, &RefusedError{Code: f.Refusal.Code, Detail: f.Refusal.Detail}
	}
	if f.Hello == nil {
		return nil, errors.New("first frame of the handshake has no Hello")
	}
	return f.Hello, nil
}
