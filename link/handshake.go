package link

import (
	"context"
	"fmt"

	"github.com/coder/websocket"
	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/wire"
	"github.com/juju/errors"
)

// greet sends this process's Hello on a dialled connection and reads the peer's.
func (p *Pool) greet(ctx context.Context, conn *websocket.Conn, name string) (*wire.Hello, error) {
	if err := writeHello(ctx, conn, p.hello(name)); err != nil {
		return nil, err
	}
	hello, err := readHello(ctx, conn)
	if err != nil {
		return nil, err
	}
	if hello.Process.Name() != name {
		return nil, errors.Errorf("reached %s instead", hello.Process.Name())
	}
	return hello, nil
}

// welcome reads a dialling peer's Hello, checks it and answers.
func (p *Pool) welcome(ctx context.Context, conn *websocket.Conn) (*wire.Hello, error) {
	hello, err := readHello(ctx, conn)
	if err != nil {
		return nil, err
	}
	if refusal := p.refuse(hello); refusal != nil {
		_ = writeFrame(ctx, conn, &wire.Frame{Refusal: refusal})
		return nil, &RefusedError{Code: refusal.Code, Detail: refusal.Detail}
	}
	if err := writeHello(ctx, conn, p.hello(hello.Process.Name())); err != nil {
		return nil, err
	}
	return hello, nil
}

// refuse returns why a peer can't be linked, or nil.
func (p *Pool) refuse(h *wire.Hello) *wire.ProtocolRefusal {
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
		return nil, errors.New("first frame is not a hello")
	}
	return f.Hello, nil
}
