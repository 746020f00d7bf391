package scenario

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// Bounds of a process under test.
const (
	startTimeout = 20 * time.Second // until its listeners are open
	logTail      = 40               // log lines that a failed script prints
)

// process is a process that a script started. It is safe for concurrent use.
type process struct {
	name string
	cmd  *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}

	mu        sync.Mutex
	addresses map[string]string // by listener
	tail      []string
	opened    chan struct{} // closed and replaced at each new listener
}

// startProcess starts a program. Its log is read from stderr and stdout.
func startProcess(name, program string, args []string) (*process, error) {
	p := &process{
		name: name, cmd: exec.Command(program, args...),
		exited: make(chan struct{}), opened: make(chan struct{}),
		addresses: make(map[string]string),
	}
	// The process ends with the test, even when the test can't end it.
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
func (p *process) follow(log io.ReadCloser) {
	defer log.Close()
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		p.add(lines.Text())
	}
	_ = p.cmd.Wait()
	close(p.exited)
}

// logLine holds the fields of a log line that the harness reads.
type logLine struct {
	Message  string `json:"msg"`
	On       string `json:"on"`
	Address  string `json:"address"`
	Admin    string `json:"admin"`
	Platform string `json:"platform"`
}

func (p *process) add(text string) {
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
	p.addresses["admin"] = line.Admin
	p.addresses["platform"] = line.Platform
	close(p.opened)
	p.opened = make(chan struct{})
}

// address returns where the process listens, and waits until it does.
func (p *process) address(listener string) (string, error) {
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

// lastLines returns the end of the log.
func (p *process) lastLines() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.tail)
}

func (p *process) signal(s os.Signal) error {
	return errors.Annotatef(p.cmd.Process.Signal(s), "signal %s", p.name)
}

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// kill ends the process without notice and waits for its end.
func (p *process) kill() {
	if p.running() {
		_ = p.cmd.Process.Kill()
	}
	<-p.exited
}

// terminate asks the process to stop and returns its exit code.
func (p *process) terminate(within time.Duration) (int, error) {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return 0, err
	}
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-time.After(within):
		return 0, errors.Timeoutf("%s runs %v after the signal", p.name, within)
	}
}
