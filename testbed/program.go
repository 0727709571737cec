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

// exitTimeout is how long Terminate waits for the process to end.
const exitTimeout = 30 * time.Second

// Program runs a program under test or a stand-in as a child process. After the
// process has ended, it can be started again with the same arguments and thus on the
// same addresses. Unlike a Process, a Program does not belong to a Deployment, does not
// wait until the process listens, and keeps the standard error in memory. Its methods
// are not safe for concurrent use.
type Program struct {
	// Name identifies the program in errors.
	Name string
	// Path is the path of the executable.
	Path string
	Args []string
	// Env is appended to the environment of the current process.
	Env []string
	// Output receives the standard output; nil discards it.
	Output io.Writer

	cmd *exec.Cmd
	// exited is closed when the process has ended; each start replaces it.
	exited chan struct{}
	// stderr holds the end of the standard error of all starts.
	stderr *tailBuffer
}

// tailBuffer keeps the last tailBufferBytes bytes that were written to it.
type tailBuffer struct {
	mu   sync.Mutex
	data []byte
}

const tailBufferBytes = 64 << 10

// Write implements io.Writer. It never fails.
func (t *tailBuffer) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.data = append(t.data, p...)
	if len(t.data) > tailBufferBytes {
		t.data = bytes.Clone(t.data[len(t.data)-tailBufferBytes:])
	}
	return len(p), nil
}

func (t *tailBuffer) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.data)
}

// Start starts the process and does not wait until it listens.
func (p *Program) Start() error {
	p.cmd = exec.Command(p.Path, p.Args...)
	p.cmd.Env = append(os.Environ(), p.Env...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if p.stderr == nil {
		p.stderr = &tailBuffer{}
	}
	p.cmd.Stderr = p.stderr
	p.cmd.Stdout = p.Output
	if err := p.cmd.Start(); err != nil {
		return eris.Wrapf(err, "testbed: cannot start %s", p.Name)
	}
	exited := make(chan struct{})
	p.exited = exited
	cmd := p.cmd
	go func() {
		_ = cmd.Wait() // the exit status is meaningless for a killed process
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process. It has no effect if the process has ended.
func (p *Program) Signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s) // fails only if the process has ended
}

// Kill sends SIGKILL and waits until the process has ended.
func (p *Program) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// KillIfStarted kills the process if Start has ever succeeded. The receiver may be nil.
func (p *Program) KillIfStarted() {
	if p != nil && p.exited != nil {
		p.Kill()
	}
}

// Pause suspends the process by SIGSTOP until Resume is called.
func (p *Program) Pause() { p.Signal(syscall.SIGSTOP) }

// Resume continues a paused process by SIGCONT.
func (p *Program) Resume() { p.Signal(syscall.SIGCONT) }

// Terminate sends SIGTERM and waits until the process has ended. It returns an
// error after exitTimeout.
func (p *Program) Terminate() error {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		return nil
	case <-time.After(exitTimeout):
		return eris.Errorf("testbed: %s did not end within %v of SIGTERM", p.Name, exitTimeout)
	}
}

// Exited returns the channel that is closed when the process has ended. It is nil
// before the first start, and each start replaces it.
func (p *Program) Exited() <-chan struct{} { return p.exited }

// PID returns the process ID. Call it after Start.
func (p *Program) PID() int { return p.cmd.Process.Pid }

// Stderr returns the last tailBufferBytes bytes that the process has written to its
// standard error, over all its starts.
func (p *Program) Stderr() string { return p.stderr.String() }
