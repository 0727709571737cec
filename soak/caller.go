package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/sesameswitch/sesameswitch/platform/standin"
)

// callPatience bounds the wait for an answer: above all times that the
// configuration allows and the longest failure together.
const callPatience = 20 * time.Second

// call is one request of a caller and what it got.
type call struct {
	id, kind, key string
	// once says that it must not run twice.
	once bool
	// since is the version that added its route; zero is a route of all.
	since       int
	gateway     string
	began, done time.Time
	reused      bool
	status      int
	sealed      bool
	body        string
	err         error
}

// caller is one caller with the connection that it keeps.
type caller struct {
	d       *deployment
	rng     *rand.Rand
	name    string
	conn    net.Conn
	reader  *bufio.Reader
	gateway *gatewayProcess
	started string
	used    int
}

// call sends requests until the time is over.
func (d *deployment) call(i int, seed uint64) {
	k := &caller{d: d, rng: rand.New(rand.NewPCG(seed, 100+uint64(i))), name: fmt.Sprintf("%d-%d", seed, i)} //nolint:gosec // repeatable on purpose
	defer k.hangUp()
	for n := 0; time.Since(d.began) < d.opts.Duration; n++ {
		if k.conn == nil && !k.connect() {
			time.Sleep(retryPause)
			continue
		}
		c := k.draw(n)
		k.send(c)
		d.history.called(c)
		if c.err != nil || k.rng.IntN(20) == 0 {
			k.hangUp()
		}
		time.Sleep(time.Duration(k.rng.IntN(20)) * time.Millisecond)
	}
}

func (k *caller) connect() bool {
	k.gateway = k.d.gateways[k.rng.IntN(len(k.d.gateways))]
	k.d.mu.Lock()
	k.started = fmt.Sprintf("%s/%d", k.gateway.Name, k.gateway.incarnation)
	k.d.mu.Unlock()
	conn, err := net.DialTimeout("tcp", k.gateway.callers, time.Second)
	if err != nil {
		return false // the gateway is down; the caller tries another
	}
	k.conn, k.reader, k.used = conn, bufio.NewReader(conn), 0
	return true
}

func (k *caller) hangUp() {
	if k.conn != nil {
		k.conn.Close()
		k.conn = nil
	}
}

// draw makes the caller's next request.
func (k *caller) draw(n int) *call {
	k.d.mu.Lock()
	version := k.d.version
	k.d.mu.Unlock()
	c := &call{id: fmt.Sprintf("%s-%d", k.name, n), key: fmt.Sprintf("key-%d", k.rng.IntN(keyCount)), gateway: k.started}
	switch x := k.rng.IntN(100); {
	case x < 35:
		c.kind = "safe"
	case x < 60:
		c.kind, c.once = "unsafe", true
	case x < 75:
		c.kind = "stream"
	case x < 90:
		c.kind, c.once = "once", true
	default:
		c.since = 1 + k.rng.IntN(version)
		c.kind = fmt.Sprintf("since-%d", c.since)
	}
	return c
}

// send sends a request and reads its answer.
func (k *caller) send(c *call) {
	c.reused, c.began = k.used > 0, time.Now()
	k.used++
	defer func() { c.done = time.Now() }()
	_ = k.conn.SetDeadline(c.began.Add(callPatience)) // fails on a closed connection only, as does the write
	if _, c.err = io.WriteString(k.conn, standin.CallerRequest("/"+c.kind+"/x", c.id, c.key, "body of "+c.id)); c.err != nil {
		return
	}
	answer, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		c.err = err
		return
	}
	defer answer.Body.Close()
	c.status, c.sealed = answer.StatusCode, standin.HasReplicaSeal(answer.Header)
	content, err := io.ReadAll(answer.Body)
	c.body, c.err = string(content), err
	if answer.Close {
		k.hangUp()
	}
}
