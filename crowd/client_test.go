package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sesameswitch/sesameswitch/platform/standin"
)

// settleTime is how long a crowd whose members have sent all that they send stays before the
// bounds are checked.
const settleTime = 500 * time.Millisecond

// member is what one member of a crowd does with its connection. It returns when it has sent
// all that it sends; the connection stays open.
type member func(conn net.Conn, number int)

// crowdOf opens connections to the address at once and lets a member use each of them. It
// returns when all have finished or failed; the connections are open until leave is called.
func crowdOf(t *testing.T, address string, size int, p *process, use member) (leave func()) {
	t.Helper()
	var mu sync.Mutex
	var conns []net.Conn
	var members sync.WaitGroup
	for number := range size {
		members.Go(func() {
			conn, err := net.DialTimeout("tcp", address, waitTimeout)
			if err != nil {
				return // the process may refuse connections
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			_ = conn.SetDeadline(time.Now().Add(waitTimeout))
			use(conn, number)
		})
	}
	finished := make(chan struct{})
	go func() {
		members.Wait()
		close(finished)
	}()
	for waiting := true; waiting; {
		select {
		case <-finished:
			waiting = false
		case <-time.After(20 * time.Millisecond):
		}
		p.countDescriptors()
	}
	time.Sleep(settleTime)
	p.countDescriptors()
	var once sync.Once
	leave = func() {
		once.Do(func() {
			for _, conn := range conns {
				conn.Close()
			}
		})
	}
	t.Cleanup(leave)
	return leave
}

// bodyBytes is content for request bodies.
var bodyBytes = strings.Repeat("0123456789abcdef", 64<<10/16)

// writeBytes writes n bytes in pieces. It returns false if the connection was closed.
func writeBytes(w io.Writer, n, piece int) bool {
	for n > 0 {
		size := min(n, piece, len(bodyBytes))
		if _, err := io.WriteString(w, bodyBytes[:size]); err != nil {
			return false
		}
		n -= size
	}
	return true
}

// writeChunks writes n bytes in chunks, without the last chunk. It returns false if the
// connection was closed.
func writeChunks(w io.Writer, n, chunk int) bool {
	bw := bufio.NewWriterSize(w, 32<<10)
	head := strconv.FormatInt(int64(chunk), 16) + "\r\n"
	for ; n > 0; n -= chunk {
		if _, err := bw.WriteString(head); err != nil || !writeBytes(bw, chunk, chunk) {
			return false
		}
		if _, err := bw.WriteString("\r\n"); err != nil {
			return false
		}
	}
	return bw.Flush() == nil
}

// responses collects the responses that the members of a crowd get.
type responses struct {
	mu sync.Mutex
	// statuses holds the status of each response by request ID.
	statuses map[string]int
}

func newResponses() *responses { return &responses{statuses: make(map[string]int)} }

// read reads one response without its body in the background.
func (r *responses) read(conn net.Conn, id string) {
	go func() {
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return
		}
		resp.Body.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		r.statuses[id] = resp.StatusCode
	}()
}

// head returns the head of a request without its final empty line.
func head(method, target, id string, fields ...string) string {
	lines := append([]string{fmt.Sprintf("%s %s HTTP/1.1", method, target), "Host: app.example", standin.RequestIDLine(id)}, fields...)
	return strings.Join(lines, "\r\n") + "\r\n"
}

// request makes one request on a new connection and returns the status and body of its
// response; the status is zero if there is none.
func request(address, text string) (status int, body string) {
	conn, err := net.DialTimeout("tcp", address, waitTimeout)
	if err != nil {
		return 0, ""
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	go func() { _, _ = io.WriteString(conn, text) }()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(content)
}
