package crowd

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sesameswitch/sesameswitch/testbed"
)

// Bounds of entries and agents, and the sizes of their crowds.
const (
	// controlMemoryMB is the maximum use of a node for control (CONTRIBUTING.md).
	controlMemoryMB = 256
	entryCrowd      = 500
	entryBodyBytes  = 1 << 20
	peerCrowd       = 60
	// peerFrameBytes is the length that a frame of a call states; all but its last byte are
	// sent.
	peerFrameBytes = 16 << 20
	adminCrowd     = 500
	silentReaders  = 400
	// longReaders is the size of the crowd that requests responses of longResponseBytes.
	longReaders       = 100
	longResponseBytes = 12 << 20
	entryKey          = "crowd-key"
)

const entryManifest = `version: 1
deployment: crowd
classes:
  - {name: lookup, tier: 4, repeatability: idempotent, targets: {whole: 3s}, floor: 0.1}
services:
  - {name: booking}
accounts:
  - {name: acme, key_hashes: ["%s"]}
routes:
  - {service: booking, classes: [lookup]}
limits: {max_body_bytes: %d}
...
`

// pair is an entry and an agent with a plain service.
type pair struct {
	entry, agent           *process
	callers                string
	entryPeers, agentPeers string
	entryAdmin, agentAdmin string
}

func startPair(t *testing.T, agentArgs ...string) *pair {
	t.Helper()
	d, err := testbed.New(binDir, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	sum := sha256.Sum256([]byte(entryKey))
	if err := d.Publish(fmt.Appendf(nil, entryManifest, hex.EncodeToString(sum[:]), entryBodyBytes)); err != nil {
		t.Fatal(err)
	}
	service, err := d.Start("service-1", "sesame-standin", "service", "--name", "booking")
	if err != nil {
		t.Fatal(err)
	}
	agent, err := d.StartAgent(testbed.AgentSpec{VM: "agent-1", DataCentre: "a", Backend: service, Services: "booking", Slots: 8, Args: agentArgs})
	if err != nil {
		t.Fatal(err)
	}
	entry, err := d.StartEntry(testbed.EntrySpec{VM: "entry-1", DataCentre: "a"})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if err := d.AwaitReady(ctx, agent, entry); err != nil {
		t.Fatal(err)
	}
	p := &pair{
		entry: deployedProcess(d, entry), agent: deployedProcess(d, agent), callers: entry.Address("callers"),
		entryPeers: entry.Address("peers"), agentPeers: agent.Address("peers"), entryAdmin: entry.Address("admin"), agentAdmin: agent.Address("admin"),
	}
	eventually(t, "first request served", p.ordinary)
	return p
}

// deployedProcess returns a process of a deployment with its bounds.
func deployedProcess(d *testbed.Deployment, p *testbed.Process) *process {
	stderr := func() string {
		content, err := os.ReadFile(filepath.Join(d.LogDir, p.Name+".log"))
		if err != nil {
			return err.Error()
		}
		return string(content[max(0, len(content)-2000):])
	}
	return &process{name: p.Name, pid: p.PID(), exited: p.Exited(), stderr: stderr, memoryMB: controlMemoryMB}
}

// post returns the head of a request to the service without its final empty line.
func post(fields ...string) string {
	return strings.Join(append([]string{"POST /v1/services/booking/lookup HTTP/1.1", "Host: entry", "Authorization: Bearer " + entryKey}, fields...), "\r\n") + "\r\n"
}

// ordinary makes a small request and reports whether it was served.
func (p *pair) ordinary() bool {
	status, _ := request(p.callers, post("Content-Length: 5", "Connection: close")+"\r\nhello")
	return status == http.StatusOK
}

func (p *pair) largest() bool {
	status, _ := request(p.callers, post(fmt.Sprintf("Content-Length: %d", entryBodyBytes), "Connection: close")+"\r\n"+strings.Repeat("x", entryBodyBytes))
	return status == http.StatusOK
}

func (p *pair) check(t *testing.T) {
	t.Helper()
	p.entry.check(t)
	p.agent.check(t)
}

// TestCrowdAtEntry lets many callers of an entry send large bodies at once.
func TestCrowdAtEntry(t *testing.T) {
	for name, send := range map[string]func(conn net.Conn, number int){
		"length-incomplete": func(conn net.Conn, number int) {
			_, _ = io.WriteString(conn, post(fmt.Sprintf("Content-Length: %d", entryBodyBytes))+"\r\n")
			n := entryBodyBytes
			if number%completeEvery != 0 {
				n -= stopShort
			}
			writeBytes(conn, n, len(bodyBytes))
		},
		"length-all-complete": func(conn net.Conn, _ int) {
			_, _ = io.WriteString(conn, post(fmt.Sprintf("Content-Length: %d", entryBodyBytes))+"\r\n")
			writeBytes(conn, entryBodyBytes, len(bodyBytes))
		},
		"small-chunks": func(conn net.Conn, number int) {
			_, _ = io.WriteString(conn, post("Transfer-Encoding: chunked")+"\r\n")
			if writeChunks(conn, entryBodyBytes, 64) && number%completeEvery == 0 {
				_, _ = io.WriteString(conn, "0\r\n\r\n")
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := startPair(t)
			if !p.largest() {
				t.Fatal("a request with a body of the maximum size was not served in calm")
			}
			leave := crowdOf(t, p.callers, entryCrowd, p.entry, send)
			eventually(t, "ordinary request served beside the crowd", p.ordinary)
			p.check(t)
			leave()
			eventually(t, "largest request served after the crowd", p.largest)
			p.check(t)
		})
	}
}

// TestCrowdAtEntryThatDoesNotRead lets many callers of an entry request long responses that they
// do not read.
func TestCrowdAtEntryThatDoesNotRead(t *testing.T) {
	long := []byte(strings.Repeat("y", 2<<20))
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/long") {
			_, _ = w.Write(long)
		}
	}))
	t.Cleanup(backend.Close)
	p := startPair(t, "--backend-url", backend.URL)
	leave := crowdOf(t, p.callers, silentReaders, p.entry, func(conn net.Conn, _ int) {
		_, _ = io.WriteString(conn, strings.Replace(post("Content-Length: 0"), "/lookup", "/long", 1)+"\r\n")
	})
	eventually(t, "ordinary request served beside the crowd", p.ordinary)
	p.check(t)
	leave()
	eventually(t, "ordinary request served after the crowd", p.ordinary)
	p.check(t)
}

// TestCrowdAtEntryWithLongResponses lets many callers of an entry request responses near the largest
// size, which they do not read.
func TestCrowdAtEntryWithLongResponses(t *testing.T) {
	long := []byte(strings.Repeat("y", longResponseBytes))
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/long") {
			_, _ = w.Write(long)
		}
	}))
	t.Cleanup(backend.Close)
	p := startPair(t, "--backend-url", backend.URL)
	requestLong := strings.Replace(post("Content-Length: 0", "Connection: close"), "/lookup", "/long", 1) + "\r\n"
	longServed := func() bool {
		status, body := request(p.callers, requestLong)
		return status == http.StatusOK && len(body) == longResponseBytes
	}
	if !longServed() {
		t.Fatal("a long response was not delivered in calm")
	}
	leave := crowdOf(t, p.callers, longReaders, p.entry, func(conn net.Conn, _ int) {
		_, _ = io.WriteString(conn, requestLong)
	})
	eventually(t, "ordinary request served beside the crowd", p.ordinary)
	p.check(t)
	leave()
	eventually(t, "long response delivered after the crowd", longServed)
	p.check(t)
}

// TestCrowdAtPeerListeners lets strangers send frames of calls that end short of their length.
func TestCrowdAtPeerListeners(t *testing.T) {
	// A gob message begins with its length; 0xfc states that three bytes follow.
	frame := []byte{0xfc, byte(peerFrameBytes >> 24), byte(peerFrameBytes >> 16 & 0xff), byte(peerFrameBytes >> 8 & 0xff), 0}
	for name, address := range map[string]func(*pair) string{
		"entry": func(p *pair) string { return p.entryPeers },
		"agent": func(p *pair) string { return p.agentPeers },
	} {
		t.Run(name, func(t *testing.T) {
			p := startPair(t)
			crowded := p.entry
			if name == "agent" {
				crowded = p.agent
			}
			leave := crowdOf(t, address(p), peerCrowd, crowded, func(conn net.Conn, _ int) {
				_, _ = conn.Write(frame)
				writeBytes(conn, peerFrameBytes-stopShort, len(bodyBytes))
			})
			p.check(t)
			leave()
			eventually(t, "ordinary request served after the crowd", p.ordinary)
			p.check(t)
		})
	}
}

// TestCrowdAtAdminListeners lets strangers send large heads to the admin listeners.
func TestCrowdAtAdminListeners(t *testing.T) {
	for name, address := range map[string]func(*pair) string{
		"entry": func(p *pair) string { return p.entryAdmin },
		"agent": func(p *pair) string { return p.agentAdmin },
	} {
		t.Run(name, func(t *testing.T) {
			p := startPair(t)
			crowded := p.entry
			if name == "agent" {
				crowded = p.agent
			}
			leave := crowdOf(t, address(p), adminCrowd, crowded, func(conn net.Conn, _ int) {
				_, _ = io.WriteString(conn, "GET /readyz HTTP/1.1\r\nHost: entry\r\n")
				for range 14 {
					if _, err := io.WriteString(conn, "X-Long: "+bodyBytes+"\r\n"); err != nil {
						return
					}
				}
			})
			eventually(t, "listener answers beside the crowd", func() bool {
				status, _ := request(address(p), "GET /readyz HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n")
				return status == http.StatusOK
			})
			p.check(t)
			leave()
			eventually(t, "ordinary request served after the crowd", p.ordinary)
			p.check(t)
		})
	}
}
