package prove

import (
	"bytes"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// exitPatience bounds the wait for a process that was told to end.
const exitPatience = 30 * time.Second

// process is one program under test or stand-in. It can be ended and started
// again with the same arguments, thus on the same addresses.
type process struct {
	name   string
	path   string
	args   []string
	env    []string
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

func (p *process) start() error {
	p.cmd = exec.Command(p.path, p.args...)
	p.cmd.Env = append(os.Environ(), p.env...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if p.stderr == nil {
		p.stderr = &tail{}
	}
	p.cmd.Stderr = p.stderr
	if err := p.cmd.Start(); err != nil {
		return eris.Wrapf(err, "start %s", p.name)
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

func (p *process) signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s) // a process that is gone needs no signal
}

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// freeze stops the process until thaw.
func (p *process) freeze() { p.signal(syscall.SIGSTOP) }

func (p *process) thaw() { p.signal(syscall.SIGCONT) }

// terminate asks the process to end gracefully and waits for that.
func (p *process) terminate() error {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		return nil
	case <-time.After(exitPatience):
		return eris.Errorf("%s did not end within %v of SIGTERM", p.name, exitPatience)
	}
}
