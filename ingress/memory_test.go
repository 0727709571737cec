package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/membudget"
)

// memoryServer is a server whose requests may hold 1 MB together.
type memoryServer struct {
	t       *testing.T
	address string
	budget  *membudget.Budget
	clock   *clock.Manual
}

func newMemoryServer(t *testing.T) *memoryServer {
	t.Helper()
	m := &memoryServer{t: t, clock: clock.NewManual(time.Unix(1000, 0))}
	m.budget = membudget.New(1<<20, m.clock)
	s := New(Config{
		Handle: func(_ context.Context, r *Request, w *ResponseWriter) {
			w.WriteResponse(http.StatusOK, nil, fmt.Append(nil, len(r.Body)))
		},
		Limits: func() Limits {
			return Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
		},
		Memory:  m.budget,
		Account: func(r *http.Request) string { return r.Header.Get("X-Account") },
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close(); s.Close() })
	go func() { _ = s.Serve(l) }()
	m.address = l.Addr().String()
	return m
}

// send begins a request with a body of the length, of which it sends the given part. If the part
// fills a buffer, the budget holds exactly the length once the server has read all of the part.
func (m *memoryServer) send(length, part int) net.Conn {
	m.t.Helper()
	return m.sendAs("", length, part)
}

// sendAs is send for an account.
func (m *memoryServer) sendAs(account string, length, part int) net.Conn {
	m.t.Helper()
	conn, err := net.Dial("tcp", m.address)
	if err != nil {
		m.t.Fatal(err)
	}
	m.t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	go func() {
		_, _ = io.WriteString(conn, fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nX-Account: %s\r\nContent-Length: %d\r\n\r\n%s", account, length, strings.Repeat("x", part))) // fails if the request is refused
	}()
	return conn
}

func (m *memoryServer) awaitUsed(holds func(used int64) bool) {
	for !holds(m.budget.Usage().Used) {
		time.Sleep(time.Millisecond) // interval between polls
	}
}

func status(t *testing.T, conn net.Conn) (int, string) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(body)
}

// TestStoppedBodyGivesWay checks the responses to a request that is refused because another one
// holds the memory, to that other one when it has stopped, and to the one that then finds room.
func TestStoppedBodyGivesWay(t *testing.T) {
	const large = 700 << 10
	m := newMemoryServer(t)
	stopped := m.send(large, 512<<10)
	m.awaitUsed(func(used int64) bool { return used == large })
	if got, body := status(t, m.send(large, large)); got != http.StatusServiceUnavailable {
		t.Errorf("got %d %q beside the other request, want 503", got, body)
	}
	if got, body := status(t, m.send(5, 5)); got != http.StatusOK || body != "5" {
		t.Errorf("small request: got %d %q, want 200", got, body)
	}
	m.clock.Advance(membudget.StallTime)
	if got, body := status(t, m.send(large, large)); got != http.StatusOK || body != fmt.Sprint(large) {
		t.Errorf("got %d %q after the other request has stopped, want 200", got, body)
	}
	if got, body := status(t, stopped); got != http.StatusRequestTimeout {
		t.Errorf("stopped request: got %d %q, want 408", got, body)
	}
	m.awaitUsed(func(used int64) bool { return used == 0 })
}

// TestAccountsShareMemory checks that the uploads of one account that hold all memory give way to one
// of another account before they have stopped, and what their callers get.
func TestAccountsShareMemory(t *testing.T) {
	const large = 180 << 10
	m := newMemoryServer(t)
	var crowd []net.Conn
	for n := int64(1); n <= 3; n++ {
		crowd = append(crowd, m.sendAs("crowd", large, 128<<10))
		m.awaitUsed(func(used int64) bool { return used == n*large })
		m.clock.Advance(time.Millisecond)
	}
	if got, body := status(t, m.sendAs("crowd", large, large)); got != http.StatusServiceUnavailable {
		t.Errorf("the same account: got %d %q, want 503", got, body)
	}
	if got, body := status(t, m.sendAs("other", large, large)); got != http.StatusOK || body != fmt.Sprint(large) {
		t.Errorf("another account: got %d %q, want 200", got, body)
	}
	if got, body := status(t, crowd[0]); got != http.StatusServiceUnavailable || !strings.Contains(body, "share") {
		t.Errorf("displaced upload: got %d %q, want 503", got, body)
	}
}

// TestMemoryIsGivenBack checks that a connection holds nothing between requests, and that what it
// holds ends with it.
func TestMemoryIsGivenBack(t *testing.T) {
	m := newMemoryServer(t)
	conn := m.send(300<<10, 300<<10)
	if got, _ := status(t, conn); got != http.StatusOK {
		t.Fatalf("got %d, want 200", got)
	}
	m.awaitUsed(func(used int64) bool { return used == 0 })
	fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: a\r\n%s\r\n", strings.Repeat("X-Long: y\r\n", 1000))
	if got, _ := status(t, conn); got != http.StatusOK {
		t.Fatalf("got %d, want 200", got)
	}
	m.awaitUsed(func(used int64) bool { return used == 0 })
	left := m.send(300<<10, 200<<10)
	m.awaitUsed(func(used int64) bool { return used >= 200<<10 })
	left.Close()
	m.awaitUsed(func(used int64) bool { return used == 0 })
}
