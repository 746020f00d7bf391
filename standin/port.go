package standin

import (
	"net"
	"os"
	"syscall"

	"github.com/juju/errors"
)

// reservedPort keeps a port bound without listening on it, so that connections are
// refused and no other socket of the machine can use the port.
type reservedPort struct {
	fd int
}

// reservePort binds the address without listening on it.
func reservePort(address *net.TCPAddr) (*reservedPort, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, errors.Annotate(err, "open socket")
	}
	if err := bind(fd, address); err != nil {
		_ = syscall.Close(fd)
		return nil, errors.Annotatef(err, "bind %v", address)
	}
	return &reservedPort{fd: fd}, nil
}

func bind(fd int, address *net.TCPAddr) error {
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return err
	}
	return syscall.Bind(fd, &syscall.SockaddrInet4{Port: address.Port, Addr: [4]byte(address.IP.To4())})
}

// listen turns the port into a listener. The reservedPort must not be used
// afterwards.
func (p *reservedPort) listen() (net.Listener, error) {
	file := os.NewFile(uintptr(p.fd), "listener")
	defer file.Close()
	if err := syscall.Listen(p.fd, syscall.SOMAXCONN); err != nil {
		return nil, errors.Annotate(err, "listen")
	}
	listener, err := net.FileListener(file)
	return listener, errors.Trace(err)
}

func (p *reservedPort) close() { _ = syscall.Close(p.fd) }
