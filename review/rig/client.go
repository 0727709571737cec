//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// attempts numbers the client attempts of this test.
var attempts atomic.Int64

// client is a connection of a client.
type client struct {
	record  *record
	address string
	conn    net.Conn
	br      *bufio.Reader
}

// sent is a client attempt and its answer.
type sent struct {
	id, key, target string
	at              time.Time
	status          int
	seal            string
	body            string
	err             error
}

// do sends one request, on the open connection if there is one, and reads the answer.
func (c *client) do(method, target, key string, deadline time.Duration, body string) sent {
	s := sent{id: fmt.Sprintf("9c41d07b%08x", attempts.Add(1)), key: key, target: target, at: time.Now()}
	defer func() {
		c.record.add("client: %s %s %s key %q -> %d seal %q body of %d bytes %.40q err %v", s.id, method, target, key, s.status, s.seal, len(s.body), s.body, s.err)
	}()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			s.err = err
			return s
		}
		c.conn, c.br = conn, bufio.NewReader(conn)
	}
	head := method + " " + target + " HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: " + s.id + "\r\nX-Deadline-Ms: " + strconv.FormatInt(deadline.Milliseconds(), 10) + "\r\n"
	if key != "" {
		head += "X-Key: " + key + "\r\n"
	}
	if method == http.MethodPost {
		head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	s.at = time.Now()
	c.record.add("client: %s sends %s %s key %q", s.id, method, target, key)
	_ = c.conn.SetDeadline(time.Now().Add(deadline + time.Second))
	if _, s.err = io.WriteString(c.conn, head+"\r\n"+body); s.err != nil {
		c.close()
		return s
	}
	response, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		s.err = err
		c.close()
		return s
	}
	content, err := io.ReadAll(response.Body)
	s.status, s.seal, s.body, s.err = response.StatusCode, response.Header.Get("X-Replica-Seal"), string(content), err
	if err != nil || response.Close {
		c.close()
	}
	return s
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}
