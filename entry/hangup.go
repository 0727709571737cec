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

// hangUpInterval is how often the connections of open streams are looked at.
const hangUpInterval = 400 * time.Millisecond

// hangUps cancels the streams whose callers have gone. One goroutine looks at
// all connections, since one for each would take more memory than the stream.
// It is safe for concurrent use.
type hangUps struct {
	mu      sync.Mutex
	callers map[*openCaller]struct{}
}

// openCaller is the connection of an open stream.
type openCaller struct {
	raw    syscall.RawConn
	cancel context.CancelFunc
}

func newHangUps() *hangUps {
	return &hangUps{callers: map[*openCaller]struct{}{}}
}

// add watches a connection until the returned function is called. A caller
// that goes is noticed within the interval, and with a connection that cannot
// be looked at, by the next write.
func (h *hangUps) add(conn net.Conn, cancel context.CancelFunc) (remove func()) {
	raw, err := rawConn(conn)
	if err != nil {
		return func() {}
	}
	c := &openCaller{raw: raw, cancel: cancel}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.callers[c] = struct{}{}
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.callers, c)
	}
}

var errNoRawConn = errors.New("entry: the connection has no file descriptor")

func rawConn(conn net.Conn) (syscall.RawConn, error) {
	if c, ok := conn.(*callerConn); ok {
		conn = c.Conn
	}
	inner, ok := conn.(syscall.Conn)
	if !ok {
		return nil, errNoRawConn
	}
	return inner.SyscallConn()
}

// watch looks at the connections until the context ends.
func (h *hangUps) watch(ctx context.Context) error {
	clock.Every(ctx, hangUpInterval, func() {
		h.look()
	})
	return nil
}

func (h *hangUps) look() {
	for _, c := range h.list() {
		if gone(c.raw) {
			c.cancel()
		}
	}
}

func (h *hangUps) list() []*openCaller {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]*openCaller, 0, len(h.callers))
	for c := range h.callers {
		list = append(list, c)
	}
	return list
}

// gone reports whether the far end has closed the connection. It does not
// wait and takes nothing off the connection.
func gone(raw syscall.RawConn) bool {
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
