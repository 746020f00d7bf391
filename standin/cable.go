package standin

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/goldcrestmux/goldcrestmux/wire"
)

// CableMode is the state of the network between two places.
type CableMode string

// Modes of a cable.
const (
	CableUp     CableMode = "up"
	CableDown   CableMode = "cut"    // connections are closed and refused
	CableSilent CableMode = "silent" // bytes are swallowed, connections stay open
)

// CableChange sets the mode of the cables between two data centres in both
// directions, or of those that lead to one VM.
type CableChange struct {
	Mode CableMode `json:"mode"`
	From string    `json:"from,omitempty"`
	To   string    `json:"to,omitempty"`
	VM   string    `json:"vm,omitempty"`
}

const (
	cableChunk = 32 << 10 // bytes
	cableQueue = 256      // chunks in flight per direction
)

// cableKey identifies a forwarder: the reader's data centre and the link listener.
type cableKey struct {
	from string
	vm   string
	role wire.Role
}

// cables holds the TCP forwarders between data centres. It is safe for concurrent use.
type cables struct {
	distance func(from, to string) time.Duration

	mu    sync.Mutex
	byKey map[cableKey]*cable
	// modes holds the last change for each pair of data centres and each VM.
	modes []CableChange
}

// cable forwards connections to one listener.
type cable struct {
	key      cableKey
	to       string
	listener net.Listener
	delay    time.Duration

	mu     sync.Mutex
	target string
	mode   CableMode
	pairs  map[*pair]struct{}
}

// pair is one forwarded connection. A pair that was silent once stays silent.
type pair struct {
	near, far net.Conn
	silent    atomic.Bool
}

func newCables(distance func(from, to string) time.Duration) *cables {
	return &cables{distance: distance, byKey: make(map[cableKey]*cable)}
}

// address returns the address of the forwarder, which it opens if needed.
func (cs *cables) address(key cableKey, to, target string) (string, error) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if c, ok := cs.byKey[key]; ok {
		c.mu.Lock()
		c.target = target
		c.mu.Unlock()
		return c.listener.Addr().String(), nil
	}
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", errors.Annotate(err, "open forwarder")
	}
	c := &cable{
		key: key, to: to, target: target, listener: listener,
		delay: cs.distance(key.from, to), mode: CableUp, pairs: make(map[*pair]struct{}),
	}
	for _, change := range cs.modes {
		if change.concerns(c) {
			c.mode = change.Mode
		}
	}
	cs.byKey[key] = c
	go c.accept()
	return listener.Addr().String(), nil
}

func (cs *cables) change(change CableChange) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.modes = append(cs.modes, change)
	for _, c := range cs.byKey {
		if change.concerns(c) {
			c.setMode(change.Mode)
		}
	}
}

func (cs *cables) close() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for _, c := range cs.byKey {
		_ = c.listener.Close()
		c.setMode(CableDown)
	}
}

func (ch CableChange) concerns(c *cable) bool {
	if ch.VM != "" {
		return c.key.vm == ch.VM
	}
	return ch.From == c.key.from && ch.To == c.to || ch.From == c.to && ch.To == c.key.from
}

func (c *cable) setMode(mode CableMode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mode = mode
	for p := range c.pairs {
		switch mode {
		case CableDown:
			reset(p.near)
			reset(p.far)
			delete(c.pairs, p)
		case CableSilent:
			p.silent.Store(true)
		}
	}
}

func (c *cable) accept() {
	for {
		near, err := c.listener.Accept()
		if err != nil {
			return
		}
		go c.connect(near)
	}
}

// connect joins a new connection to the listener behind the cable.
func (c *cable) connect(near net.Conn) {
	c.mu.Lock()
	target, mode := c.target, c.mode
	c.mu.Unlock()
	if mode == CableDown {
		reset(near)
		return
	}
	far, err := net.Dial("tcp", target)
	if err != nil {
		reset(near)
		return
	}
	p := &pair{near: near, far: far}
	if !c.add(p) {
		reset(near)
		reset(far)
		return
	}
	go c.copy(p, near, far)
	c.copy(p, far, near)
}

// add registers a pair. It reports false if the cable has been cut.
func (c *cable) add(p *pair) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mode == CableDown {
		return false
	}
	p.silent.Store(c.mode == CableSilent)
	c.pairs[p] = struct{}{}
	return true
}

// chunk is a piece of a stream and the time at which it arrives.
type chunk struct {
	data []byte
	due  time.Time
}

// copy forwards bytes with the cable's delay until either side ends.
func (c *cable) copy(p *pair, from, to net.Conn) {
	queue := make(chan chunk, cableQueue)
	go c.deliver(p, queue, to)
	for {
		buf := make([]byte, cableChunk)
		n, err := from.Read(buf)
		if n > 0 && !p.silent.Load() {
			queue <- chunk{data: buf[:n], due: time.Now().Add(c.delay)}
		}
		if err != nil {
			close(queue)
			_ = from.Close()
			return
		}
	}
}

func (c *cable) deliver(p *pair, queue <-chan chunk, to net.Conn) {
	for piece := range queue {
		time.Sleep(time.Until(piece.due))
		if !p.silent.Load() {
			_, _ = to.Write(piece.data)
		}
	}
	if p.silent.Load() {
		return // the other end isn't told
	}
	_ = to.Close()
	c.mu.Lock()
	delete(c.pairs, p)
	c.mu.Unlock()
}

// reset closes a connection so that the other end sees a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
