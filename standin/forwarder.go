package standin

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/goldcrestmux/goldcrestmux/wire"
)

// CableMode is the state of a cable: the simulated network path from one data
// centre to another, or to one VM.
type CableMode string

// Modes of a cable.
const (
	CableUp     CableMode = "up"
	CableDown   CableMode = "cut"    // connections are reset and refused
	CableSilent CableMode = "silent" // bytes are discarded, connections stay open
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
	chunkBytes      = 32 << 10
	maxQueuedChunks = 256 // per direction of a connection
)

// forwarderKey identifies a forwarder by the data centre whose connections it
// forwards, and the link listener to which it forwards them.
type forwarderKey struct {
	from string
	vm   string
	role wire.Role
}

// forwarders holds the TCP forwarders between data centres. Methods are safe for
// concurrent use.
type forwarders struct {
	networkDelay func(from, to string) time.Duration

	mu    sync.Mutex
	byKey map[forwarderKey]*forwarder
	// changes holds all changes in their order; new forwarders apply them.
	changes []CableChange
}

// forwarder forwards connections to one listener.
type forwarder struct {
	key        forwarderKey
	dataCentre string // of the destination
	listener   net.Listener
	delay      time.Duration

	mu          sync.Mutex
	destination string
	mode        CableMode
	conns       map[*forwardedConn]struct{}
}

// forwardedConn is one forwarded connection. Once silent, it stays silent.
type forwardedConn struct {
	client, server net.Conn
	silent         atomic.Bool
}

func newForwarders(networkDelay func(from, to string) time.Duration) *forwarders {
	return &forwarders{networkDelay: networkDelay, byKey: make(map[forwarderKey]*forwarder)}
}

// address returns the address of the forwarder to the listener at destination in
// dataCentre. It opens the forwarder if there is none.
func (fs *forwarders) address(key forwarderKey, dataCentre, destination string) (string, error) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if f, ok := fs.byKey[key]; ok {
		f.mu.Lock()
		f.destination = destination
		f.mu.Unlock()
		return f.listener.Addr().String(), nil
	}
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", errors.Annotate(err, "open forwarder")
	}
	f := &forwarder{
		key: key, dataCentre: dataCentre, destination: destination, listener: listener,
		delay: fs.networkDelay(key.from, dataCentre), mode: CableUp, conns: make(map[*forwardedConn]struct{}),
	}
	for _, change := range fs.changes {
		if change.appliesTo(f) {
			f.mode = change.Mode
		}
	}
	fs.byKey[key] = f
	go f.accept()
	return listener.Addr().String(), nil
}

func (fs *forwarders) change(change CableChange) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.changes = append(fs.changes, change)
	for _, f := range fs.byKey {
		if change.appliesTo(f) {
			f.setMode(change.Mode)
		}
	}
}

func (fs *forwarders) close() {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	for _, f := range fs.byKey {
		_ = f.listener.Close()
		f.setMode(CableDown)
	}
}

func (ch CableChange) appliesTo(f *forwarder) bool {
	if ch.VM != "" {
		return f.key.vm == ch.VM
	}
	return ch.From == f.key.from && ch.To == f.dataCentre || ch.From == f.dataCentre && ch.To == f.key.from
}

func (f *forwarder) setMode(mode CableMode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mode = mode
	for conn := range f.conns {
		switch mode {
		case CableDown:
			reset(conn.client)
			reset(conn.server)
			delete(f.conns, conn)
		case CableSilent:
			conn.silent.Store(true)
		}
	}
}

func (f *forwarder) accept() {
	for {
		client, err := f.listener.Accept()
		if err != nil {
			return
		}
		go f.connect(client)
	}
}

// connect forwards an accepted connection to the destination.
func (f *forwarder) connect(client net.Conn) {
	f.mu.Lock()
	destination, mode := f.destination, f.mode
	f.mu.Unlock()
	if mode == CableDown {
		reset(client)
		return
	}
	server, err := net.Dial("tcp", destination)
	if err != nil {
		reset(client)
		return
	}
	conn := &forwardedConn{client: client, server: server}
	if !f.add(conn) {
		reset(client)
		reset(server)
		return
	}
	go f.copy(conn, client, server)
	f.copy(conn, server, client)
}

// add registers a connection. It reports false if the mode is CableDown.
func (f *forwarder) add(conn *forwardedConn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.mode == CableDown {
		return false
	}
	conn.silent.Store(f.mode == CableSilent)
	f.conns[conn] = struct{}{}
	return true
}

// chunk is a part of a stream and the time at which it is delivered.
type chunk struct {
	data []byte
	due  time.Time
}

// copy forwards bytes with the network delay until either side closes.
func (f *forwarder) copy(conn *forwardedConn, from, to net.Conn) {
	queue := make(chan chunk, maxQueuedChunks)
	go f.deliver(conn, queue, to)
	for {
		buf := make([]byte, chunkBytes)
		n, err := from.Read(buf)
		if n > 0 && !conn.silent.Load() {
			queue <- chunk{data: buf[:n], due: time.Now().Add(f.delay)}
		}
		if err != nil {
			close(queue)
			_ = from.Close()
			return
		}
	}
}

func (f *forwarder) deliver(conn *forwardedConn, queue <-chan chunk, to net.Conn) {
	for ch := range queue {
		time.Sleep(time.Until(ch.due))
		if !conn.silent.Load() {
			_, _ = to.Write(ch.data)
		}
	}
	if conn.silent.Load() {
		return // a silent connection stays open at the other end
	}
	_ = to.Close()
	f.mu.Lock()
	delete(f.conns, conn)
	f.mu.Unlock()
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
