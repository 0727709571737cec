//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// smallWindow is the receive buffer of replicas that answer early: links have small windows.
const smallWindow = 32 << 10

// runner runs one request at a replica and writes the response. It reports whether the
// connection stays open.
type runner func(r *replica, e *exchange) bool

// exchange is one request at a replica.
type exchange struct {
	method, target, id string
	header             http.Header
	body               []byte
	conn               net.Conn
	// rest is what has not been read of the body.
	rest io.Reader
}

// head writes the head of a response with the replica's seal.
func (e *exchange) head(r *replica, status int, lines string) {
	_, _ = fmt.Fprintf(e.conn, "HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\nX-Replica-Seal: %s.%s\r\n%s\r\n", status, http.StatusText(status), e.id, r.id, e.id, lines)
}

// replica is a stand-in of a replica of a plain service.
type replica struct {
	id, service, address string
	slots                int
	born                 int64
	run                  runner
	record               *record
	listener             net.Listener
	// early lets run answer before the body is read.
	early bool

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func newReplica(id, service, address string, slots int, run runner, rec *record) (*replica, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &replica{id: id, service: service, address: address, slots: slots, born: time.Now().UnixMilli(), run: run, record: rec, listener: l, conns: make(map[net.Conn]struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r.mu.Lock()
			r.conns[c] = struct{}{}
			r.mu.Unlock()
			go r.serve(c)
		}
	}()
	return r, nil
}

// serve answers the requests of a connection.
func (r *replica) serve(c net.Conn) {
	defer func() {
		c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	if r.early {
		_ = c.(*net.TCPConn).SetReadBuffer(smallWindow)
	}
	br := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		var body []byte
		if !r.early {
			if body, err = io.ReadAll(request.Body); err != nil {
				return
			}
		}
		e := &exchange{rest: request.Body, method: request.Method, target: request.RequestURI, id: request.Header.Get("X-Attempt-Id"), header: request.Header, body: body, conn: c}
		if expected := request.Header.Get("X-Expect-Replica"); expected != "" && expected != r.id {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Replica-Id: %s\r\nContent-Length: 0\r\n\r\n", e.id, r.id)
			continue
		}
		r.record.ran(r, e)
		if !r.run(r, e) {
			return
		}
	}
}

// answer returns a runner that answers 200 after the work.
func answer(work time.Duration) runner {
	return func(r *replica, e *exchange) bool {
		time.Sleep(work)
		body := "done by " + r.service
		if e.method == http.MethodHead {
			e.head(r, http.StatusOK, fmt.Sprintf("Content-Length: %d\r\n", len(body)))
			return true
		}
		e.head(r, http.StatusOK, fmt.Sprintf("Content-Length: %d\r\n", len(body)))
		_, _ = io.WriteString(e.conn, body)
		return true
	}
}

// end ends the replica: it refuses connections.
func (r *replica) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listener.Close()
	for c := range r.conns {
		c.Close()
	}
	r.record.add("replica %s has exited", r.id)
}
