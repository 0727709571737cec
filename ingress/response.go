package ingress

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// writeTimeout limits the time of one write to a connection. The connection is closed
// if the caller reads too slowly.
const writeTimeout = 10 * time.Second

// framing is how a response marks the end of its body.
type framing int

const (
	// framingNone means that the head was not written yet.
	framingNone framing = iota
	framingLength
	framingChunked
)

// ResponseWriter writes the single response to a request. It is not safe for
// concurrent use.
type ResponseWriter struct {
	conn      *conn
	ctx       context.Context
	keepAlive bool
	framing   framing
	// remaining is the number of body bytes still to be written with
	// framingLength.
	remaining int64
	// toHead is true if the request was a HEAD request, whose response has no body.
	toHead bool
	// bodiless is true if the response has no body, whatever its head states.
	bodiless bool
	// complete is true if the end of the body was written or buffered.
	complete bool
	// failed is true if a write to the connection failed.
	failed bool
	// buf holds the bytes that were not sent yet.
	buf bytes.Buffer
}

// Started reports whether WriteHead was called.
func (w *ResponseWriter) Started() bool { return w.framing != framingNone }

// Failed reports whether a write to the connection failed, so that the response is
// truncated.
func (w *ResponseWriter) Failed() bool { return w.failed }

// CallerLeft reports whether the caller has closed the connection.
func (w *ResponseWriter) CallerLeft() bool { return w.ctx.Err() != nil }

// WriteHead buffers the head of the response. A negative length means that the
// length is unknown; the body is then sent in chunks. The response to a HEAD request and one with
// status 204 or 304 have no body: what is written of it is dropped. The head of the response to
// a HEAD request states the length.
func (w *ResponseWriter) WriteHead(status int, header http.Header, length int64) {
	if w.Started() {
		panic("ingress: response head written twice")
	}
	if w.conn.server.cfg.CloseAfterResponse != nil && w.conn.server.cfg.CloseAfterResponse() {
		w.keepAlive = false
	}
	fmt.Fprintf(&w.buf, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for name, values := range header {
		for _, value := range values {
			w.buf.WriteString(name)
			w.buf.WriteString(": ")
			w.buf.WriteString(value)
			w.buf.WriteString("\r\n")
		}
	}
	w.framing, w.remaining = framingLength, length
	lacksLength := status == http.StatusNoContent || status == http.StatusNotModified || w.toHead && length < 0
	w.bodiless = lacksLength || w.toHead
	switch {
	case lacksLength:
	case length >= 0:
		w.buf.WriteString("Content-Length: " + strconv.FormatInt(length, 10) + "\r\n")
	default:
		w.framing = framingChunked
		w.buf.WriteString("Transfer-Encoding: chunked\r\n")
	}
	if !w.keepAlive {
		w.buf.WriteString("Connection: close\r\n")
	}
	w.buf.WriteString("\r\n")
}

// Write sends part of the body, and the head if it is still buffered. It returns
// false if writing to the connection failed.
func (w *ResponseWriter) Write(p []byte) bool {
	w.bufferBody(p)
	return w.flush()
}

// maxCopiedBytes is the largest part of a body that is copied to the buffer, to be sent together
// with what is there. Larger parts are sent from where they are.
const maxCopiedBytes = 16 << 10

// bufferBody appends part of the body to the buffer, or sends the buffer and then the part.
func (w *ResponseWriter) bufferBody(p []byte) {
	if len(p) == 0 || w.bodiless {
		return
	}
	if w.framing == framingLength {
		if int64(len(p)) > w.remaining {
			panic("ingress: response body longer than its Content-Length")
		}
		w.remaining -= int64(len(p))
		w.bufferOrSend(p)
		return
	}
	w.buf.WriteString(strconv.FormatInt(int64(len(p)), 16))
	w.buf.WriteString("\r\n")
	w.bufferOrSend(p)
	w.buf.WriteString("\r\n")
}

func (w *ResponseWriter) bufferOrSend(p []byte) {
	if len(p) <= maxCopiedBytes {
		w.buf.Write(p)
		return
	}
	if w.flush() {
		w.send(p)
	}
}

// End sends the rest of the body and ends the response. If the body is shorter than
// the announced length, the response stays truncated and the connection is closed.
// End returns false if writing to the connection failed.
func (w *ResponseWriter) End(rest []byte) bool {
	w.bufferBody(rest)
	if w.framing == framingChunked {
		w.buf.WriteString("0\r\n\r\n")
	}
	w.complete = w.framing == framingChunked || w.remaining == 0 || w.bodiless
	return w.flush()
}

// WriteResponse sends a complete response. It returns false if writing to the
// connection failed.
func (w *ResponseWriter) WriteResponse(status int, header http.Header, body []byte) bool {
	w.WriteHead(status, header, int64(len(body)))
	return w.End(body)
}

// flush sends the buffered bytes. It returns false if this or an earlier write failed.
func (w *ResponseWriter) flush() bool {
	if w.failed || w.buf.Len() == 0 {
		return !w.failed
	}
	ok := w.send(w.buf.Bytes())
	w.buf.Reset()
	return ok
}

// send writes to the connection. It returns false if that failed.
func (w *ResponseWriter) send(p []byte) bool {
	_ = w.conn.nc.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection
	_, err := w.conn.nc.Write(p)
	w.failed = err != nil
	return !w.failed
}

// reusable reports whether the connection can carry another request. After an
// incomplete response it cannot.
func (w *ResponseWriter) reusable() bool {
	return w.complete && !w.failed && w.keepAlive
}
