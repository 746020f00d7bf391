package bench

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// Bounds of a process.
const (
	listenTimeout = 20 * time.Second // until its listeners are open
	stopTimeout   = 20 * time.Second // from SIGTERM until its end
	maxLogLine    = 1 << 20          // bytes
)

// process is a process that the bench started. It is safe for concurrent use.
type process struct {
	name   string
	cmd    *exec.Cmd
	exited chan struct{} // closed when it has ended

	mu        sync.Mutex
	addresses map[string]string // by listener
	opened    chan struct{}     // closed and replaced at each new listener
}

func startProcess(bin, program string, args ...string) (*process, error) {
	p := &process{
		name: program, cmd: exec.Command(filepath.Join(bin, program), args...),
		exited: make(chan struct{}), opened: make(chan struct{}), addresses: make(map[string]string),
	}
	// The process ends with the bench, even when the bench can't end it.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	read, write, err := os.Pipe()
	if err != nil {
		return nil, errors.Trace(err)
	}
	p.cmd.Stdout, p.cmd.Stderr = write, write
	err = p.cmd.Start()
	_ = write.Close()
	if err != nil {
		return nil, errors.Annotatef(err, "start %s", program)
	}
	go p.follow(read)
	return p, nil
}

// logLine holds the fields of a log line that tell addresses.
type logLine struct {
	Message  string `json:"msg"`
	On       string `json:"on"`
	Address  string `json:"address"`
	Admin    string `json:"admin"`
	Platform string `json:"platform"`
}

// follow reads the log until the process ends.
func (p *process) follow(log io.ReadCloser) {
	defer log.Close()
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		var line logLine
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Message == "listening" {
			p.open(line)
		}
	}
	_ = p.cmd.Wait()
	close(p.exited)
}

func (p *process) open(line logLine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addresses[line.On] = line.Address
	p.addresses[listenAdmin] = line.Admin
	p.addresses[listenPlatform] = line.Platform
	close(p.opened)
	p.opened = make(chan struct{})
}

// address returns where the process listens, and waits until it does.
func (p *process) address(listener string) (string, error) {
	timeout := time.After(listenTimeout)
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

// terminate asks the process to stop and waits until it has. It fails if the
// process doesn't exit with 0 in time.
func (p *process) terminate() error {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return errors.Annotatef(err, "signal %s", p.name)
	}
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
		_ = p.cmd.Process.Kill()
		return errors.Timeoutf("%s: stop", p.name)
	}
	if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		return errors.Errorf("%s exited with %d", p.name, code)
	}
	return nil
}

// kill ends the process without notice and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}
