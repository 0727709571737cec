package entry

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/sesameswitch/sesameswitch/clock"
)

// disconnectCheckInterval is the time between two checks of the connections of
// open streams.
const disconnectCheckInterval = 400 * time.Millisecond

// disconnectMonitor cancels the streams of callers that have disconnected. One
// goroutine checks all connections, since one for each would take more memory
// than the stream. It is safe for concurrent use.
type disconnectMonitor struct {
	mu    sync.Mutex
	conns map[*monitoredConn]struct{}
}

// monitoredConn is the connection of an open stream.
type monitoredConn struct {
	raw    syscall.RawConn
	cancel context.CancelFunc
}

func newDisconnectMonitor() *disconnectMonitor {
	return &disconnectMonitor{conns: map[*monitoredConn]struct{}{}}
}

// add monitors a connection until the returned function is called. A disconnect
// is detected within the check interval, or at the next write if the connection
// cannot be checked.
func (m *disconnectMonitor) add(conn net.Conn, cancel context.CancelFunc) (remove func()) {
	raw, err := rawConn(conn)
	if err != nil {
		return func() {}
	}
	c := &monitoredConn{raw: raw, cancel: cancel}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns[c] = struct{}{}
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.conns, c)
	}
}

var errNoRawConn = errors.New("entry: connection has no file descriptor")

func rawConn(conn net.Conn) (syscall.RawConn, error) {
	if c := callerConnOf(conn); c != nil {
		conn = c.Conn
	}
	inner, ok := conn.(syscall.Conn)
	if !ok {
		return nil, errNoRawConn
	}
	return inner.SyscallConn()
}

// run checks the connections until the context ends.
func (m *disconnectMonitor) run(ctx context.Context) error {
	clock.Every(ctx, disconnectCheckInterval, func() {
		m.checkAll()
	})
	return nil
}

func (m *disconnectMonitor) checkAll() {
	for _, c := range m.snapshot() {
		if closedByRemote(c.raw) {
			c.cancel()
		}
	}
}

func (m *disconnectMonitor) snapshot() []*monitoredConn {
	m.mu.Lock()
	defer m.mu.Unlock()
	conns := make([]*monitoredConn, 0, len(m.conns))
	for c := range m.conns {
		conns = append(conns, c)
	}
	return conns
}

// closedByRemote reports whether the remote end has closed the connection. It
// does not block and consumes no data of the connection.
func closedByRemote(raw syscall.RawConn) bool {
	closed := false
	err := raw.Control(func(fd uintptr) {
		var scratch [1]byte
		n, _, err := syscall.Recvfrom(int(fd), scratch[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) {
			return
		}
		closed = err != nil || n == 0
	})
	return closed || err != nil
}
