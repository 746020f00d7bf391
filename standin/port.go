package standin

import (
	"net"
	"os"
	"syscall"

	"github.com/juju/errors"
)

// heldPort keeps a port bound without listening, so that connections are
// refused and no other socket of the machine takes the port.
type heldPort struct {
	fd int
}

// holdPort binds the address.
func holdPort(address *net.TCPAddr) (*heldPort, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, errors.Annotate(err, "open socket")
	}
	if err := bind(fd, address); err != nil {
		_ = syscall.Close(fd)
		return nil, errors.Annotatef(err, "bind %v", address)
	}
	return &heldPort{fd: fd}, nil
}

func bind(fd int, address *net.TCPAddr) error {
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return err
	}
	return syscall.Bind(fd, &syscall.SockaddrInet4{Port: address.Port, Addr: [4]byte(address.IP.To4())})
}

// listen turns the held port into a listener. The heldPort is used up.
func (h *heldPort) listen() (net.Listener, error) {
	file := os.NewFile(uintptr(h.fd), "listener")
	defer file.Close()
	if err := syscall.Listen(h.fd, syscall.SOMAXCONN); err != nil {
		return nil, errors.Annotate(err, "listen")
	}
	listener, err := net.FileListener(file)
	return listener, errors.Trace(err)
}

func (h *heldPort) close() { _ = syscall.Close(h.fd) }
