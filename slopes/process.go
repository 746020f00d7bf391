package main

import (
	"bufio"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// startTimeout bounds the time until a process listens.
const startTimeout = 20 * time.Second

// process is a program that the measurement started.
type process struct {
	cmd     *exec.Cmd
	listens chan listening
}

// listening is the log line of a program that has opened a listener.
type listening struct {
	Message  string `json:"msg"`
	On       string `json:"on"`
	Address  string `json:"address"`
	Admin    string `json:"admin"`
	Platform string `json:"platform"`
}

// startProcess starts a program that ends with this process at the latest.
func startProcess(bin, program string, args ...string) (*process, error) {
	p := &process{cmd: exec.Command(filepath.Join(bin, program), args...), listens: make(chan listening, 16)}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	read, write, err := os.Pipe()
	if err != nil {
		return nil, errors.Trace(err)
	}
	p.cmd.Stdout, p.cmd.Stderr = write, write
	err = p.cmd.Start()
	_ = write.Close()
	if err != nil {
		return nil, errors.Annotate(err, program)
	}
	go p.follow(bufio.NewScanner(read))
	return p, nil
}

// follow reads the log to its end.
func (p *process) follow(log *bufio.Scanner) {
	defer close(p.listens)
	for log.Scan() {
		var line listening
		if json.Unmarshal(log.Bytes(), &line) == nil && line.Message == "listening" {
			p.listens <- line
		}
	}
}

// next returns the next listener that the process opens.
func (p *process) next() (listening, error) {
	select {
	case l, ok := <-p.listens:
		if !ok {
			return l, errors.New("process ended before it listened")
		}
		return l, nil
	case <-time.After(startTimeout):
		return listening{}, errors.Timeoutf("listener")
	}
}

// stop ends the process and waits for its end.
func (p *process) stop() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}
