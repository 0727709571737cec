package testbed

import (
	"bytes"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// exitPatience bounds the wait for a process that was told to end.
const exitPatience = 30 * time.Second

// Program is one program under test or stand-in. It can be ended and started
// again with the same arguments, thus on the same addresses. Its methods are
// not for concurrent use.
type Program struct {
	Name string
	Path string
	Args []string
	// Env is added to the environment.
	Env []string
	// Output receives what it writes to standard output; nil drops it.
	Output io.Writer

	cmd    *exec.Cmd
	exited chan struct{}
	stderr *tail
}

// tail keeps the last bytes written to it.
type tail struct {
	mu   sync.Mutex
	data []byte
}

const tailBytes = 64 << 10

// Write keeps the end of what was written.
func (t *tail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.data = append(t.data, p...)
	if len(t.data) > tailBytes {
		t.data = bytes.Clone(t.data[len(t.data)-tailBytes:])
	}
	return len(p), nil
}

func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.data)
}

// Start starts the program.
func (p *Program) Start() error {
	p.cmd = exec.Command(p.Path, p.Args...)
	p.cmd.Env = append(os.Environ(), p.Env...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if p.stderr == nil {
		p.stderr = &tail{}
	}
	p.cmd.Stderr = p.stderr
	p.cmd.Stdout = p.Output
	if err := p.cmd.Start(); err != nil {
		return eris.Wrapf(err, "start %s", p.Name)
	}
	exited := make(chan struct{})
	p.exited = exited
	cmd := p.cmd
	go func() {
		_ = cmd.Wait() // the exit status of a killed process says nothing
		close(exited)
	}()
	return nil
}

// Signal sends a signal. A program that is gone needs none.
func (p *Program) Signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s) // a process that is gone needs no signal
}

// Kill ends the program at once and waits for its end.
func (p *Program) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// KillIfStarted kills a program that was started; nil is none.
func (p *Program) KillIfStarted() {
	if p != nil && p.exited != nil {
		p.Kill()
	}
}

// Pause stops the program until Resume.
func (p *Program) Pause() { p.Signal(syscall.SIGSTOP) }

// Resume continues a paused program.
func (p *Program) Resume() { p.Signal(syscall.SIGCONT) }

// Terminate asks the program to end gracefully and waits for that.
func (p *Program) Terminate() error {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		return nil
	case <-time.After(exitPatience):
		return eris.Errorf("%s did not end within %v of SIGTERM", p.Name, exitPatience)
	}
}

// Exited is closed when the program has ended; nil before its first start.
func (p *Program) Exited() <-chan struct{} { return p.exited }

// Stderr is the end of what it wrote to standard error.
func (p *Program) Stderr() string { return p.stderr.String() }
