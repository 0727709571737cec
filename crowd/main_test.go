package crowd

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sesameswitch/sesameswitch/testbed"
)

// waitTimeout is how long a test waits for an expected event before it fails. It only serves
// to detect hangs.
const waitTimeout = 30 * time.Second

// binDir holds the programs under test.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

// runTests builds the programs without the race detector, which multiplies the memory of a
// process, and runs the tests.
func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "sesame-crowd-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir+string(os.PathSeparator),
		"../cmd/sesame-gateway", "../cmd/sesame-origin-holder", "../cmd/sesame-entry", "../cmd/sesame-agent", "../cmd/sesame-standin")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	binDir = dir
	return m.Run()
}

// eventually waits until a condition holds, and fails the test after waitTimeout.
func eventually(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); {
		if holds() {
			return
		}
		time.Sleep(5 * time.Millisecond) // interval between polls; does not affect the result
	}
	t.Fatalf("%s: condition not met within %s", condition, waitTimeout)
}

// process is a program under test and the bounds that it must keep.
type process struct {
	name   string
	pid    int
	exited <-chan struct{}
	stderr func() string
	// memoryMB and descriptors bound the peak memory, in megabytes, and the open descriptors;
	// zero descriptors means that they are not checked.
	memoryMB    float64
	descriptors int
	// mostDescriptors is the highest number that was observed.
	mostDescriptors int
}

// programProcess starts a program under test, which ends with the test.
func programProcess(t *testing.T, p *testbed.Program, memoryMB float64, descriptors int) *process {
	t.Helper()
	log, err := os.Create(filepath.Join(t.TempDir(), p.Name+".log"))
	if err != nil {
		t.Fatal(err)
	}
	p.Output = log
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.KillIfStarted()
		log.Close()
	})
	started := &process{name: p.Name, exited: p.Exited(), stderr: p.Stderr, memoryMB: memoryMB, descriptors: descriptors}
	started.pid = p.PID()
	return started
}

// check fails the test unless the process lives within its bounds.
func (p *process) check(t *testing.T) {
	t.Helper()
	select {
	case <-p.exited:
		t.Fatalf("%s ended; its standard error: %.2000s", p.name, p.stderr())
	default:
	}
	p.countDescriptors()
	peak := p.peakMemoryMB(t)
	t.Logf("%s: peak memory %.0f MB of %.0f MB, most descriptors observed %d", p.name, peak, p.memoryMB, p.mostDescriptors)
	if peak > p.memoryMB {
		t.Errorf("%s: peak memory is %.0f MB, limit %.0f MB", p.name, peak, p.memoryMB)
	}
	if p.descriptors > 0 && p.mostDescriptors > p.descriptors {
		t.Errorf("%s: %d open descriptors, limit %d", p.name, p.mostDescriptors, p.descriptors)
	}
}

// countDescriptors updates mostDescriptors.
func (p *process) countDescriptors() {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid))
	if err == nil {
		p.mostDescriptors = max(p.mostDescriptors, len(entries))
	}
}

// peakMemoryMB returns the peak resident memory of the process in megabytes.
func (p *process) peakMemoryMB(t *testing.T) float64 {
	t.Helper()
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.SplitSeq(string(content), "\n") {
		if text, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")), 64)
			if err != nil {
				t.Fatal(err)
			}
			return kilobytes / 1024
		}
	}
	t.Fatal("the peak memory of the process is not known")
	return 0
}
