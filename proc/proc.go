// Package proc starts the programs of this repository for scenarios and
// measurements, learns their addresses from their logs, and ends them. The
// programs themselves start no process.
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

// Bounds of a process.
const (
	startTimeout = 20 * time.Second // until its listeners are open
	logTail      = 40               // log lines that are kept
	maxLogLine   = 1 << 20          // bytes
)

// Names under which a stand-in's listeners are found.
const (
	ListenAdmin    = "admin"
	ListenPlatform = "platform"
)

// Process is a program that was started. It is safe for concurrent use.
type Process struct {
	name string
	cmd  *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}

	mu        sync.Mutex
	addresses map[string]string // by listener
	tail      []string
	opened    chan struct{} // closed and replaced at each new listener
}

// Start starts a program under a name of the caller's. Its log is read from
// stderr and stdout. The program ends with this process at the latest.
func Start(name, program string, args []string) (*Process, error) {
	p := &Process{
		name: name, cmd: exec.Command(program, args...),
		exited: make(chan struct{}), opened: make(chan struct{}),
		addresses: make(map[string]string),
	}
	// It ends even when this process can't end it.
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
	go p.follow(read)
	return p, nil
}

// follow reads the log until the process ends.
func (p *Process) follow(log io.ReadCloser) {
	defer log.Close()
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		p.add(lines.Text())
	}
	_ = p.cmd.Wait()
	close(p.exited)
}

// logLine holds the fields of a log line that tell addresses.
type logLine struct {
	Message  string `json:"msg"`
	On       string `json:"on"`
	Address  string `json:"address"`
	Admin    string `json:"admin"`
	Platform string `json:"platform"`
}

func (p *Process) add(text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tail = append(p.tail, text)
	if len(p.tail) > logTail {
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

// Address returns where the process listens, and waits until it does.
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
			return "", errors.Errorf("%s ended before it listened", p.name)
		case <-timeout:
			return "", errors.Timeoutf("%s: no listener %q", p.name, listener)
		}
	}
}

// Addresses returns the addresses of all listeners known so far, by listener.
func (p *Process) Addresses() map[string]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.addresses)
}

// Tail returns the end of the log.
func (p *Process) Tail() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.tail)
}

// Signal sends a signal.
func (p *Process) Signal(s os.Signal) error {
	return errors.Annotatef(p.cmd.Process.Signal(s), "signal %s", p.name)
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Kill ends the process without notice and waits for its end.
func (p *Process) Kill() {
	if p.Running() {
		_ = p.cmd.Process.Kill()
	}
	<-p.exited
}

// Terminate asks the process to stop and returns its exit code.
func (p *Process) Terminate(within time.Duration) (int, error) {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return 0, err
	}
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-time.After(within):
		return 0, errors.Timeoutf("%s runs %v after the signal", p.name, within)
	}
}

// Name returns the name under which the process was started.
func (p *Process) Name() string { return p.name }

// PID returns the process's number.
func (p *Process) PID() int { return p.cmd.Process.Pid }
