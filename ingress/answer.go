package ingress

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// writeTimeout ends a connection whose caller takes no bytes for so long.
const writeTimeout = 10 * time.Second

// framing is how the end of an answer's body is told.
type framing int

const (
	framingNone framing = iota
	framingLength
	framingChunked
)

// ResponseWriter is the one answer to a request. Its methods are called from one
// goroutine.
type ResponseWriter struct {
	conn    *conn
	ctx     context.Context
	keep    bool
	framing framing
	// left is what is due of a body with a length.
	left   int64
	ended  bool
	failed bool
	buf    bytes.Buffer
}

// Started reports whether the head of the answer was given.
func (a *ResponseWriter) Started() bool { return a.framing != framingNone }

// Failed reports whether the connection ended before the answer did.
func (a *ResponseWriter) Failed() bool { return a.failed }

// WriteHead gives the head of an answer. A negative length is not known yet.
func (a *ResponseWriter) WriteHead(status int, header http.Header, length int64) {
	if a.Started() {
		panic("ingress: the head of an answer was given twice")
	}
	if a.conn.server.cfg.CloseAfterResponse != nil && a.conn.server.cfg.CloseAfterResponse() {
		a.keep = false
	}
	fmt.Fprintf(&a.buf, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for name, values := range header {
		for _, value := range values {
			a.buf.WriteString(name)
			a.buf.WriteString(": ")
			a.buf.WriteString(value)
			a.buf.WriteString("\r\n")
		}
	}
	a.framing, a.left = framingLength, length
	if length >= 0 {
		a.buf.WriteString("Content-Length: " + strconv.FormatInt(length, 10) + "\r\n")
	} else {
		a.framing = framingChunked
		a.buf.WriteString("Transfer-Encoding: chunked\r\n")
	}
	if !a.keep {
		a.buf.WriteString("Connection: close\r\n")
	}
	a.buf.WriteString("\r\n")
}

// Write gives a part of the body and sends it at once.
func (a *ResponseWriter) Write(p []byte) bool {
	a.put(p)
	return a.flush()
}

// put adds a part of the body to the bytes to be sent.
func (a *ResponseWriter) put(p []byte) {
	if len(p) == 0 {
		return
	}
	if a.framing == framingLength {
		if int64(len(p)) > a.left {
			panic("ingress: more body than the head announced")
		}
		a.left -= int64(len(p))
		a.buf.Write(p)
		return
	}
	a.buf.WriteString(strconv.FormatInt(int64(len(p)), 16))
	a.buf.WriteString("\r\n")
	a.buf.Write(p)
	a.buf.WriteString("\r\n")
}

// End completes the answer. last is the rest of the body.
func (a *ResponseWriter) End(last []byte) bool {
	a.put(last)
	if a.framing == framingChunked {
		a.buf.WriteString("0\r\n\r\n")
	}
	a.ended = a.framing == framingChunked || a.left == 0
	return a.flush()
}

// WriteResponse gives a whole answer.
func (a *ResponseWriter) WriteResponse(status int, header http.Header, body []byte) bool {
	a.WriteHead(status, header, int64(len(body)))
	return a.End(body)
}

// flush sends what was given so far.
func (a *ResponseWriter) flush() bool {
	if a.failed || a.buf.Len() == 0 {
		return !a.failed
	}
	_ = a.conn.nc.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection
	_, err := a.conn.nc.Write(a.buf.Bytes())
	a.buf.Reset()
	a.failed = err != nil
	return !a.failed
}

// finish reports whether the connection can carry another request. An answer
// that was not completed ends it.
func (a *ResponseWriter) finish() bool {
	return a.ended && !a.failed && a.keep
}
