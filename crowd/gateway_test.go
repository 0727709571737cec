package crowd

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sesameswitch/sesameswitch/platform/standin"
	"github.com/sesameswitch/sesameswitch/testbed"
)

// Limits of the gateways under test and the sizes of the crowds. A crowd sends several times
// the memory limit.
const (
	memoryMB       = 64
	maxDescriptors = 600
	maxBodyBytes   = 1 << 20
	maxHeaderBytes = 8 << 10
	crowdSize      = 250
	// returningCrowd is the size of the crowd that comes again after each refusal.
	returningCrowd = 150
	// uploads is how many requests of the largest size an account sends beside that crowd, one
	// after another.
	uploads = 20
	// stopShort is how many bytes of a body most members of a crowd do not send.
	stopShort = 1
	// completeEvery: one member in completeEvery sends its body to the end.
	completeEvery = 10
	replicaCount  = 4
)

// gateway is a gateway process between stand-ins for the store and replicas.
type gateway struct {
	*process
	callers, ready, peers, metrics string
	replicas                       []*standin.Replica
	requests                       int
	// keyLines holds the header line with the key of ordinary requests, if there are keys.
	keyLines []string
}

// startGateway starts a gateway. If keys are given, all routes need one of them, and ordinary
// requests use the first.
func startGateway(t *testing.T, keys ...string) *gateway {
	t.Helper()
	store := standin.NewStore()
	config := strings.Replace(string(standin.ConfigDocument(1, keys...)), `"max_body_bytes":65536`, fmt.Sprintf(`"max_body_bytes":%d`, maxBodyBytes), 1)
	store.Put("op/config", []byte(config))
	g := &gateway{}
	if len(keys) > 0 {
		g.keyLines = []string{standin.APIKeyLine(keys[0])}
	}
	for i := range replicaCount {
		replica, err := standin.NewReplica(fmt.Sprintf("i-%d", i+1))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(replica.Crash)
		store.Put("servers/"+replica.ID, replica.RegistryEntry("app", "zone-a", "ready"))
		g.replicas = append(g.replicas, replica)
	}
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	for _, address := range []*string{&g.callers, &g.ready, &g.peers, &g.metrics} {
		var err error
		if *address, err = testbed.FreeAddress(); err != nil {
			t.Fatal(err)
		}
	}
	path := filepath.Join(t.TempDir(), "boot.toml")
	settings := fmt.Sprintf(`node_name = "edge-1"
zone = "zone-a"
role = "gateway"
seeds = [%[3]q]
[listen]
front = %[1]q
ready_addr = %[2]q
control_addr = %[3]q
[limits]
memory_mb = %[4]d
max_fds = %[5]d
[bounds]
revoke_ms = 5000
grace_s = 8
retry_ratio = 0.2
retry_extra = 50
retry_window_s = 10
[platform]
addr = %[6]q
`, g.callers, g.ready, g.peers, memoryMB, maxDescriptors, strings.TrimPrefix(server.URL, "http://"))
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	g.process = programProcess(t, &testbed.Program{
		Name: "gateway", Path: filepath.Join(binDir, "sesame-gateway"), Args: []string{"--boot", path, "--metrics-listen", g.metrics},
	}, memoryMB, maxDescriptors)
	eventually(t, "gateway ready", func() bool { return g.readyStatus() == http.StatusOK })
	eventually(t, "first request served", func() bool { return g.ordinary("/safe/first") })
	return g
}

func (g *gateway) readyStatus() int {
	status, _ := request(g.ready, "GET /readyz HTTP/1.1\r\nHost: edge\r\nConnection: close\r\n\r\n")
	return status
}

// ordinary makes a small request and reports whether it was served.
func (g *gateway) ordinary(target string) bool {
	g.requests++
	status, body := request(g.callers, head("POST", target, fmt.Sprintf("ordinary-%d", g.requests), append(g.keyLines, "Content-Length: 5")...)+"\r\nhello")
	return status == http.StatusOK && strings.HasPrefix(body, "from i-")
}

// largest makes a request with a body of the maximum size and reports whether it was served.
func (g *gateway) largest() bool {
	g.requests++
	status, body := request(g.callers, head("POST", "/safe/large", fmt.Sprintf("large-%d", g.requests), append(g.keyLines, "Content-Length: "+strconv.Itoa(maxBodyBytes))...)+"\r\n"+strings.Repeat("x", maxBodyBytes))
	return status == http.StatusOK && strings.HasPrefix(body, "from i-")
}

// serveBeside checks that ordinary requests are served beside a crowd, the largest ones after it,
// and that the process lives within its bounds.
func (g *gateway) serveBeside(t *testing.T, leave func()) {
	t.Helper()
	eventually(t, "ordinary request served beside the crowd", func() bool { return g.ordinary("/safe/beside") })
	g.check(t)
	leave()
	eventually(t, "largest request served after the crowd", g.largest)
	g.check(t)
}

// checkRefusals fails the test if a request that was refused as not run has reached the
// replica.
func (g *gateway) checkRefusals(t *testing.T, got *responses) {
	t.Helper()
	received := make(map[string]bool)
	for _, replica := range g.replicas {
		for _, r := range replica.ReceivedRequests() {
			received[r.RequestID()] = true
		}
	}
	got.mu.Lock()
	defer got.mu.Unlock()
	counts := make(map[int]int)
	for id, status := range got.statuses {
		counts[status]++
		switch status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
			if received[id] {
				t.Errorf("request %s was refused with status %d and has reached a replica", id, status)
			}
		}
	}
	t.Logf("responses to the crowd by status: %v", counts)
}

// setLongScript lets the replicas run the script for the route /long/.
func (g *gateway) setLongScript(script standin.Script) {
	for _, replica := range g.replicas {
		replica.SetScript(func(e *standin.Exchange) bool {
			if strings.HasPrefix(e.Target, "/long/") {
				return script(e)
			}
			e.Respond(http.StatusOK, "from "+replica.ID)
			return true
		})
	}
}

// TestCrowdWithBodies lets many callers send large bodies at once.
func TestCrowdWithBodies(t *testing.T) {
	complete := func(number int) bool { return number%completeEvery == 0 }
	for name, send := range map[string]func(conn net.Conn, number int, start string){
		"length-all-complete": func(conn net.Conn, _ int, start string) {
			_, _ = io.WriteString(conn, start+fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes))
			writeBytes(conn, maxBodyBytes, len(bodyBytes))
		},
		"length-in-pieces": func(conn net.Conn, number int, start string) {
			_, _ = io.WriteString(conn, start+fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes))
			n := maxBodyBytes
			if !complete(number) {
				n -= stopShort
			}
			writeBytes(conn, n, 1460)
		},
		"large-chunks": func(conn net.Conn, number int, start string) {
			_, _ = io.WriteString(conn, start+"Transfer-Encoding: chunked\r\n\r\n")
			if writeChunks(conn, maxBodyBytes, 256<<10) && complete(number) {
				_, _ = io.WriteString(conn, "0\r\n\r\n")
			}
		},
		"small-chunks": func(conn net.Conn, number int, start string) {
			_, _ = io.WriteString(conn, start+"Transfer-Encoding: chunked\r\n\r\n")
			if writeChunks(conn, maxBodyBytes, 16) && complete(number) {
				_, _ = io.WriteString(conn, "0\r\n\r\n")
			}
		},
		"too-large-announced": func(conn net.Conn, _ int, start string) {
			_, _ = io.WriteString(conn, start+"Content-Length: 1073741824\r\n\r\n")
			writeBytes(conn, 4*maxBodyBytes, len(bodyBytes))
		},
		"too-large-in-chunks": func(conn net.Conn, _ int, start string) {
			_, _ = io.WriteString(conn, start+"Transfer-Encoding: chunked\r\n\r\n")
			writeChunks(conn, 4*maxBodyBytes, 64<<10)
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := startGateway(t)
			if !g.largest() {
				t.Fatal("a request with a body of the maximum size was not served in calm")
			}
			got := newResponses()
			leave := crowdOf(t, g.callers, crowdSize, g.process, func(conn net.Conn, number int) {
				id := fmt.Sprintf("crowd-%d", number)
				got.read(conn, id)
				send(conn, number, head("POST", "/unsafe/crowd", id))
			})
			g.serveBeside(t, leave)
			g.checkRefusals(t, got)
		})
	}
}

// TestCrowdWithWaitingBodies lets many callers send complete bodies to a replica that does not
// answer.
func TestCrowdWithWaitingBodies(t *testing.T) {
	g := startGateway(t)
	g.setLongScript(func(e *standin.Exchange) bool {
		<-e.Disconnected
		return false
	})
	got := newResponses()
	leave := crowdOf(t, g.callers, crowdSize, g.process, func(conn net.Conn, number int) {
		id := fmt.Sprintf("crowd-%d", number)
		got.read(conn, id)
		_, _ = io.WriteString(conn, head("POST", "/long/crowd", id)+fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes))
		writeBytes(conn, maxBodyBytes, len(bodyBytes))
	})
	g.serveBeside(t, leave)
	g.checkRefusals(t, got)
}

// TestUploadBesideReturningCrowd lets many callers without a known key send large bodies that stop
// short, again at once whenever they are refused. An account uploads beside them.
func TestUploadBesideReturningCrowd(t *testing.T) {
	g := startGateway(t, "key-1")
	ctx, cancel := context.WithCancel(t.Context())
	var crowd sync.WaitGroup
	leave := func() {
		cancel()
		crowd.Wait()
	}
	defer leave()
	arrived := make(chan struct{}, returningCrowd)
	for number := range returningCrowd {
		crowd.Go(func() {
			for attempt := 0; ctx.Err() == nil; attempt++ {
				g.sendIncomplete(ctx, fmt.Sprintf("crowd-%d-%d", number, attempt))
				if attempt == 0 {
					arrived <- struct{}{}
				}
			}
		})
	}
	for range returningCrowd {
		<-arrived
	}
	for range uploads {
		eventually(t, "largest request served beside the crowd", g.largest)
	}
	g.serveBeside(t, leave)
}

// sendIncomplete sends a request whose body stops short, and waits until the connection is closed, a
// response arrives or the context ends.
func (g *gateway) sendIncomplete(ctx context.Context, id string) {
	conn, err := net.DialTimeout("tcp", g.callers, waitTimeout)
	if err != nil {
		return // the process may refuse connections
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	_, _ = io.WriteString(conn, head("POST", "/safe/crowd", id, "Content-Length: "+strconv.Itoa(maxBodyBytes))+"\r\n")
	if writeBytes(conn, maxBodyBytes-stopShort, len(bodyBytes)) {
		_, _ = conn.Read(make([]byte, 1))
	}
}

// TestCrowdWithHeads lets many callers send heads with many short fields, complete ones
// followed by an incomplete body, and incomplete ones.
func TestCrowdWithHeads(t *testing.T) {
	fields := strings.Repeat("a:\r\n", (maxHeaderBytes-200)/4)
	for name, end := range map[string]string{"complete": "\r\n1", "incomplete": ""} {
		t.Run(name, func(t *testing.T) {
			g := startGateway(t)
			leave := crowdOf(t, g.callers, maxDescriptors-100, g.process, func(conn net.Conn, number int) {
				_, _ = io.WriteString(conn, head("POST", "/unsafe/crowd", fmt.Sprintf("crowd-%d", number), "Content-Length: 2")+fields+end)
			})
			g.serveBeside(t, leave)
		})
	}
}

// TestCrowdOfConnections lets more callers connect than the process may have descriptors. They
// send nothing, or one request and then nothing.
func TestCrowdOfConnections(t *testing.T) {
	for name, use := range map[string]member{
		"silent": func(net.Conn, int) {},
		"idle": func(conn net.Conn, number int) {
			_, _ = io.WriteString(conn, head("GET", "/safe/crowd", fmt.Sprintf("crowd-%d", number))+"\r\n")
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := startGateway(t)
			leave := crowdOf(t, g.callers, 2*maxDescriptors, g.process, use)
			g.serveBeside(t, leave)
		})
	}
}

// TestCrowdThatDoesNotRead lets many callers request long responses that they do not read.
func TestCrowdThatDoesNotRead(t *testing.T) {
	g := startGateway(t)
	long := strings.Repeat("y", 8<<20)
	g.setLongScript(func(e *standin.Exchange) bool {
		e.Respond(http.StatusOK, long)
		return true
	})
	leave := crowdOf(t, g.callers, crowdSize, g.process, func(conn net.Conn, number int) {
		_, _ = io.WriteString(conn, head("GET", "/long/crowd", fmt.Sprintf("crowd-%d", number))+"\r\n")
	})
	g.serveBeside(t, leave)
}

// TestCrowdAtOtherListeners lets strangers send large heads to the listeners for readiness
// checks and for metrics.
func TestCrowdAtOtherListeners(t *testing.T) {
	for name, listener := range map[string]struct {
		address func(*gateway) string
		path    string
	}{
		"readiness": {func(g *gateway) string { return g.ready }, "/readyz"},
		"metrics":   {func(g *gateway) string { return g.metrics }, "/metrics"},
	} {
		t.Run(name, func(t *testing.T) {
			g := startGateway(t)
			leave := crowdOf(t, listener.address(g), 2*maxDescriptors, g.process, func(conn net.Conn, _ int) {
				_, _ = io.WriteString(conn, "GET "+listener.path+" HTTP/1.1\r\nHost: edge\r\n")
				for range 14 {
					if _, err := io.WriteString(conn, "X-Long: "+bodyBytes+"\r\n"); err != nil {
						return
					}
				}
			})
			eventually(t, "listener answers beside the crowd", func() bool {
				status, _ := request(listener.address(g), "GET "+listener.path+" HTTP/1.1\r\nHost: edge\r\nConnection: close\r\n\r\n")
				return status == http.StatusOK
			})
			eventually(t, "ordinary request served beside the crowd", func() bool { return g.ordinary("/safe/beside") })
			g.check(t)
			leave()
			g.check(t)
		})
	}
}
