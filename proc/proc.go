// Package proc starts the programs of this repository for scenarios and
// measurements, reads their addresses from their logs, and stops them. The
// programs themselves start no processes.
package proc

import (
	"bufio"
	"encoding/json"
	"io"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

const (
	startTimeout    = 20 * time.Second // maximum time until a listener is open
	tailLines       = 40               // log lines that are kept
	maxLogLineBytes = 1 << 20
)

// Names of a stand-in's listeners, for Process.Address.
const (
	ListenAdmin    = "admin"
	ListenPlatform = "platform"
)

// Process is a program that was started. Its methods are safe for concurrent use.
type Process struct {
	name string
	cmd  *exec.Cmd
	// exited is closed when the process has exited.
	exited chan struct{}

	mu        sync.Mutex
	addresses map[string]string // by listener
	tail      []string
	opened    chan struct{} // closed and replaced when listeners open
}

// Start starts a program. Error messages refer to it by name. Its log is read from
// stderr and stdout. It is killed when this process exits.
func Start(name, program string, args []string) (*Process, error) {
	p := &Process{
		name: name, cmd: exec.Command(program, args...),
		exited: make(chan struct{}), opened: make(chan struct{}),
		addresses: make(map[string]string),
	}
	// The kernel kills the program even if this process exits without doing so.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	read, write, err := os.Pipe()
	if err != nil {
		return nil, errors.Trace(err)
	}
	p.cmd.Stdout, p.cmd.Stderr = write, write
	err = p.cmd.Start()
	_ = write.Close()
	if err != nil {
		return nil, errors.Annotatef(err, "start %s", filepath.Base(program))
	}
	go p.readLog(read)
	return p, nil
}

// readLog reads the log until the process exits.
func (p *Process) readLog(log io.ReadCloser) {
	defer log.Close()
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLogLineBytes)
	for lines.Scan() {
		p.addLine(lines.Text())
	}
	_ = p.cmd.Wait()
	close(p.exited)
}

// logLine holds the fields of a log line that contain addresses.
type logLine struct {
	Message  string `json:"msg"`
	On       string `json:"on"`
	Address  string `json:"address"`
	Admin    string `json:"admin"`
	Platform string `json:"platform"`
}

// addLine appends a line to the tail of the log and records the addresses in it.
func (p *Process) addLine(text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tail = append(p.tail, text)
	if len(p.tail) > tailLines {
		p.tail = slices.Delete(p.tail, 0, 1)
	}
	var line logLine
	if json.Unmarshal([]byte(text), &line) != nil || line.Message != "listening" {
		return
	}
	p.addresses[line.On] = line.Address
	p.addresses[ListenAdmin] = line.Admin
	p.addresses[ListenPlatform] = line.Platform
	close(p.opened)
	p.opened = make(chan struct{})
}

// Address returns the address of a listener. It waits until the listener is open,
// and returns an error if the process exits or startTimeout passes before that.
func (p *Process) Address(listener string) (string, error) {
	timeout := time.After(startTimeout)
	for {
		p.mu.Lock()
		address, opened := p.addresses[listener], p.opened
		p.mu.Unlock()
		if address != "" {
			return address, nil
		}
		select {
		case <-opened:
		case <-p.exited:
			return "", errors.Errorf("%s exited before its listener was open", p.name)
		case <-timeout:
			return "", errors.Timeoutf("%s: listener %q did not open", p.name, listener)
		}
	}
}

// Addresses returns the addresses of all listeners known so far, by listener.
func (p *Process) Addresses() map[string]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.addresses)
}

// Tail returns the last lines of the log.
func (p *Process) Tail() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.tail)
}

// Signal sends a signal to the process.
func (p *Process) Signal(s os.Signal) error {
	return errors.Annotatef(p.cmd.Process.Signal(s), "signal %s", p.name)
}

// Running reports whether the process has not exited.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Kill kills the process and waits until it has exited.
func (p *Process) Kill() {
	if p.Running() {
		_ = p.cmd.Process.Kill()
	}
	<-p.exited
}

// Terminate sends SIGTERM and returns the exit code of the process. It returns an
// error if the process has not exited after the given time.
func (p *Process) Terminate(within time.Duration) (int, error) {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return 0, err
	}
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-time.After(within):
		return 0, errors.Timeoutf("%s still running %v after SIGTERM", p.name, within)
	}
}

// Name returns the name under which the process was started.
func (p *Process) Name() string { return p.name }

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }
