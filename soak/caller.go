package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/sesameswitch/sesameswitch/platform/standin"
)

// callTimeout bounds the wait for a response. It is longer than the longest timeout
// of the requested routes plus the longest fault.
const callTimeout = 20 * time.Second

// Timeouts that callers state: one call in shortCallShare has the short one.
const (
	longCallTimeout  = 5 * time.Second
	shortCallTimeout = 200 * time.Millisecond
	shortCallShare   = 6
)

// call is one request of a caller and the response to it.
type call struct {
	// id is unique in the test, route the first element of the path, key the API key.
	id, route, key string
	// atMostOnce is true if the request must not run more than once.
	atMostOnce bool
	// routeVersion is the configuration version that added the route. It is zero
	// for a route that all versions have.
	routeVersion int
	// timeout is how long the caller states that it waits.
	timeout time.Duration
	// requestBody is the body of the request, prompt the header line that lists the segments of the
	// prompt, if any. crashing is the kind of fault that lets the request crash servers, or
	// empty.
	requestBody, prompt, crashing string
	// gateway is the gatewayIncarnation of the caller.
	gateway            string
	startedAt, endedAt time.Time
	// breakAfter is the number of events after which the caller loses its connection; zero means
	// that it does not.
	breakAfter int
	// resumes is the call whose stream the request takes up, after the event with the ID after,
	// or nil. version is the software version that began it, servers the number of ready servers
	// of that version.
	resumes *call
	after   int
	version string
	servers int
	// reusedConnection is true if the connection had carried an earlier request.
	reusedConnection bool
	status           int
	// hasSeal is true if the response has a replica seal.
	hasSeal bool
	body    string
	err     error
}

// caller simulates a caller that sends its requests over a persistent connection.
type caller struct {
	deployment *deployment
	rng        *rand.Rand
	name       string
	// conn is nil while the caller is not connected.
	conn    net.Conn
	reader  *bufio.Reader
	gateway *gatewayProcess
	// gatewayIncarnation is the name and the incarnation of gateway at the time when
	// conn was opened.
	gatewayIncarnation string
	// requestsOnConn counts the requests sent over conn.
	requestsOnConn int
}

// runCaller simulates a caller, which sends requests until the duration of the
// test is over.
func (d *deployment) runCaller(i int, seed uint64) {
	cl := &caller{deployment: d, rng: rand.New(rand.NewPCG(seed, 100+uint64(i))), name: fmt.Sprintf("%d-%d", seed, i)} //nolint:gosec // reproducible by design
	defer cl.disconnect()
	for n := 0; time.Since(d.startedAt) < d.opts.Duration; n++ {
		if cl.conn == nil && !cl.connect() {
			time.Sleep(pollInterval)
			continue
		}
		c := cl.nextCall(n)
		cl.send(c)
		d.history.addCall(c)
		if again := cl.takeUp(c); again != nil {
			d.history.addCall(again)
			c = again
		}
		if c.err != nil || cl.rng.IntN(20) == 0 {
			cl.disconnect()
		}
		time.Sleep(time.Duration(cl.rng.IntN(20)) * time.Millisecond)
	}
}

// Routes whose requests must not run more than once.
const (
	unsafeRoute = "unsafe"
	onceRoute   = "once"
)

// isAtMostOnce reports whether a request with this target must not run more than
// once.
func isAtMostOnce(target string) bool {
	return strings.HasPrefix(target, "/"+unsafeRoute+"/") || strings.HasPrefix(target, "/"+onceRoute+"/")
}

func (cl *caller) connect() bool {
	cl.gateway = cl.deployment.gateways[cl.rng.IntN(len(cl.deployment.gateways))]
	cl.deployment.mu.Lock()
	cl.gatewayIncarnation = fmt.Sprintf("%s/%d", cl.gateway.Name, cl.gateway.incarnation)
	cl.deployment.mu.Unlock()
	conn, err := net.DialTimeout("tcp", cl.gateway.callerAddress, time.Second)
	if err != nil {
		return false // the gateway is down; the caller tries a random one later
	}
	cl.conn, cl.reader, cl.requestsOnConn = conn, bufio.NewReader(conn), 0
	return true
}

func (cl *caller) disconnect() {
	if cl.conn != nil {
		cl.conn.Close()
		cl.conn = nil
	}
}

// nextCall returns a random request with an ID that is unique in the test. Its API
// key may have been revoked, and its route may be of any version published so far.
func (cl *caller) nextCall(n int) *call {
	cl.deployment.mu.Lock()
	version := cl.deployment.version
	cl.deployment.mu.Unlock()
	c := &call{id: fmt.Sprintf("%s-%d", cl.name, n), key: fmt.Sprintf("key-%d", cl.rng.IntN(initialKeyCount)), gateway: cl.gatewayIncarnation, timeout: longCallTimeout}
	if cl.rng.IntN(shortCallShare) == 0 {
		c.timeout = shortCallTimeout
	}
	switch x := cl.rng.IntN(100); {
	case x < 35:
		c.route = "safe"
	case x < 60:
		c.route, c.atMostOnce = unsafeRoute, true
	case x < 75:
		c.route = "stream"
		if cl.rng.IntN(brokenShare) == 0 {
			c.breakAfter = 1 + cl.rng.IntN(eventsPerStream-1)
		}
	case x < 90:
		c.route, c.atMostOnce = onceRoute, true
	default:
		c.routeVersion = 1 + cl.rng.IntN(version)
		c.route = fmt.Sprintf("since-%d", c.routeVersion)
	}
	cl.chooseContent(c)
	return c
}

// headerLines returns the optional header lines of the request.
func (c *call) headerLines() []string {
	lines := c.resumeLines()
	if c.prompt != "" {
		lines = append(lines, c.prompt)
	}
	return lines
}

// send sends a request and reads its response into c.
func (cl *caller) send(c *call) {
	c.reusedConnection, c.startedAt = cl.requestsOnConn > 0, time.Now()
	cl.requestsOnConn++
	defer func() { c.endedAt = time.Now() }()
	_ = cl.conn.SetDeadline(c.startedAt.Add(callTimeout)) // fails only on a closed connection, on which the write fails as well
	if _, c.err = io.WriteString(cl.conn, standin.CallerRequest("/"+c.route+"/x", c.id, c.key, c.requestBody, c.timeout, c.headerLines()...)); c.err != nil {
		return
	}
	response, err := http.ReadResponse(cl.reader, nil)
	if err != nil {
		c.err = err
		return
	}
	defer response.Body.Close()
	c.status, c.hasSeal = response.StatusCode, standin.HasReplicaSeal(response.Header)
	c.body, c.err = readBody(response.Body, c.breakAfter)
	if response.Close {
		cl.disconnect()
	}
}

// readBody reads a body. If breakAfter is positive, it stops after that many events.
func readBody(body io.Reader, breakAfter int) (string, error) {
	if breakAfter == 0 {
		content, err := io.ReadAll(body)
		return string(content), err
	}
	var text strings.Builder
	for events, reader := 0, bufio.NewReader(body); events < breakAfter; {
		line, err := reader.ReadString('\n')
		text.WriteString(line)
		if errors.Is(err, io.EOF) {
			return text.String(), nil
		}
		if err != nil {
			return text.String(), err
		}
		if line == "\n" {
			events++
		}
	}
	return text.String(), errConnectionLost
}
