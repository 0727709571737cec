// Package testbed starts processes for tests on the loopback interface: a Deployment
// consists of stand-ins for the platform, agents and entries; a Program is a single
// process; a Relay simulates failures of the link between two processes. Only the
// demo, the fault-injection tests and the experiments use it, never a daemon.
//
// Callers may assume that Deployment.Close ends all processes that the deployment
// started, and no others. The processes are killed if the process that started them
// ends without a call of Close.
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

// startTimeout is how long a start waits until the process reports that it
// listens.
const startTimeout = 20 * time.Second

// Process is one process of a deployment. Address is safe for concurrent use, the
// other methods are not.
type Process struct {
	Name    string
	program string
	args    []string
	logFile string
	cmd     *exec.Cmd
	// exited is closed when the process has ended; each start replaces it.
	exited chan struct{}

	mu sync.Mutex
	// addresses holds the addresses that the process has printed, by their key.
	addresses map[string]string
}

// startProcess starts a program and waits until it reports that it listens. The
// standard error of the process is appended to the log file.
func startProcess(name, program, logFile string, args []string) (*Process, error) {
	p := &Process{Name: name, program: program, args: args, logFile: logFile}
	return p, p.Start()
}

// Start starts the process and waits until it reports that it listens. It can be
// called again, with the same arguments, after the process has ended.
func (p *Process) Start() error {
	log, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return eris.Wrap(err, "testbed: cannot open log file")
	}
	defer log.Close()
	cmd := exec.Command(p.program, p.args...)
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return eris.Wrap(err, "testbed: cannot create pipe for standard output")
	}
	if err := cmd.Start(); err != nil {
		return eris.Wrapf(err, "testbed: cannot start %s", p.Name)
	}
	p.cmd = cmd
	p.exited = make(chan struct{})
	listening := make(chan struct{})
	go p.readOutput(out, listening)
	select {
	case <-listening:
		return nil
	case <-p.exited:
		return eris.Errorf("testbed: %s ended before it listened; see its log %s", p.Name, p.logFile)
	case <-time.After(startTimeout):
		return eris.Errorf("testbed: %s did not listen in time; see its log %s", p.Name, p.logFile)
	}
}

// readOutput reads the standard output of the process and then waits for its end.
// The process listens on all its addresses once a line "listening" contains the
// address of the admin listener or an address without a key.
func (p *Process) readOutput(out io.Reader, listening chan struct{}) {
	defer close(p.exited)
	scanner := bufio.NewScanner(out)
	signalled := false
	for scanner.Scan() {
		rest, found := strings.CutPrefix(scanner.Text(), "listening ")
		if !found {
			continue
		}
		if p.recordAddresses(rest) && !signalled {
			signalled = true
			close(listening)
		}
	}
	_ = p.cmd.Wait() // ExitCode returns the exit status
}

// recordAddresses stores the addresses of a line "listening", each in the form
// key=address or address, and reports whether it is the last such line.
func (p *Process) recordAddresses(line string) bool {
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

// Address returns the address that the process printed with the key: "callers",
// "peers" or "admin" for daemons, "" for stand-ins.
func (p *Process) Address(key string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addresses[key]
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process. It has no effect if the process has ended.
func (p *Process) Signal(signal syscall.Signal) {
	select {
	case <-p.exited:
	default:
		_ = p.cmd.Process.Signal(signal) // fails only if the process has just ended
	}
}

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Exited returns the channel that is closed when the process has ended. Each start
// replaces it.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// ExitCode returns the exit code of the ended process, or -1 if a signal ended it.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// logPath returns the path of the log file of a process.
func logPath(dir, name string) string { return filepath.Join(dir, name+".log") }
