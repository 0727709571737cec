// Package testbed starts the processes of a deployment on the loopback
// interface: stand-ins of the platform, agents and entries. The demo, the
// proofs and the experiments share it; daemons never use it.
//
// A caller may rely on Close ending every process that the bed started, and
// no other.
package testbed

import (
	"bufio"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// startTimeout bounds the wait for a process to say that it listens.
const startTimeout = 20 * time.Second

// Process is one process of a bed. Its methods are not for concurrent use.
type Process struct {
	Name    string
	program string
	args    []string
	log     string
	cmd     *exec.Cmd
	done    chan struct{}

	mu        sync.Mutex
	addresses map[string]string
}

// startProcess starts a program and waits until it says that it listens. Its
// standard error goes to the log file.
func startProcess(name, program, log string, args []string) (*Process, error) {
	p := &Process{Name: name, program: program, args: args, log: log}
	return p, p.Start()
}

// Start starts the process again with the same arguments after it ended.
func (p *Process) Start() error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return eris.Wrap(err, "testbed: log")
	}
	defer log.Close()
	cmd := exec.Command(p.program, p.args...)
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return eris.Wrap(err, "testbed: pipe")
	}
	if err := cmd.Start(); err != nil {
		return eris.Wrapf(err, "testbed: start %s", p.Name)
	}
	p.cmd = cmd
	p.done = make(chan struct{})
	listening := make(chan struct{})
	go p.follow(out, listening)
	select {
	case <-listening:
		return nil
	case <-p.done:
		return eris.Errorf("testbed: %s ended at its start, see %s", p.Name, p.log)
	case <-time.After(startTimeout):
		return eris.Errorf("testbed: %s does not listen, see %s", p.Name, p.log)
	}
}

// follow reads what the process prints and waits for its end. The process
// listens once a line names an address without a key or its admin listener.
func (p *Process) follow(out io.Reader, listening chan struct{}) {
	defer close(p.done)
	scanner := bufio.NewScanner(out)
	told := false
	for scanner.Scan() {
		rest, found := strings.CutPrefix(scanner.Text(), "listening ")
		if !found {
			continue
		}
		if p.note(rest) && !told {
			told = true
			close(listening)
		}
	}
	_ = p.cmd.Wait() // how it ended is for the caller to judge
}

// note keeps the addresses of a "listening" line and reports whether it was
// the last of them.
func (p *Process) note(line string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.addresses == nil {
		p.addresses = map[string]string{}
	}
	last := false
	for _, field := range strings.Fields(line) {
		key, address, keyed := strings.Cut(field, "=")
		if !keyed {
			key, address = "", field
		}
		p.addresses[key] = address
		last = last || key == "" || key == "admin"
	}
	return last
}

// Address returns the address that the process printed under a key: callers,
// peers or admin for daemons, nothing for stand-ins.
func (p *Process) Address(key string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addresses[key]
}

// PID returns the process's number.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process. One that ended is left alone.
func (p *Process) Signal(signal syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(signal) // it may end at this moment
	}
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// ExitCode returns the exit code of a process that ended, or -1.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// logPath names the log file of a process.
func logPath(dir, name string) string { return filepath.Join(dir, name+".log") }
