package entry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"sync"
	"time"

	"github.com/sesameswitch/sesameswitch/outcome"
)

// callerWriteTimeout bounds each write to the caller of a stream; if the caller
// does not accept the bytes in time, the stream ends.
const callerWriteTimeout = 30 * time.Second

// hijack takes the caller's connection from the HTTP server, so that an open
// stream occupies neither the server's buffers nor its goroutine. It returns
// false if the connection cannot be hijacked or the protocol is not HTTP/1.1;
// the stream is then sent through the server.
func hijack(w http.ResponseWriter, r *http.Request) (net.Conn, bool) {
	hijacker, ok := w.(http.Hijacker)
	if !ok || !r.ProtoAtLeast(1, 1) || r.ProtoMajor > 1 {
		return nil, false
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return nil, false
	}
	_ = conn.SetDeadline(time.Time{}) // a connection that fails here also fails at the first write
	if c := callerConnOf(conn); c != nil {
		c.hijacked.Store(true)
	}
	return conn, true
}

// serveHijacked serves a request on a hijacked connection. It uses a new context,
// since that of the request ends with the handler; the disconnect monitor cancels
// it when the caller disconnects.
func (e *Entry) serveHijacked(conn net.Conn, req *request) {
	defer e.hijackedStreams.Add(-1)
	defer conn.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer e.disconnects.add(conn, cancel)()
	e.serveToEnd(ctx, req, &hijackedSink{conn: conn, id: req.id})
}

// hijackedSink writes a stream to a hijacked connection.
type hijackedSink struct {
	conn     net.Conn
	id       string
	headSent bool
}

// writeBuffers holds the buffers of writeEncoded.
var writeBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

func (s *hijackedSink) head(code int, header map[string]string) {
	s.headSent = true
	h := http.Header{}
	setStreamHeaders(h, header, s.id)
	h.Set("Transfer-Encoding", "chunked")
	h.Set("Connection", "close")
	h.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	_ = s.writeEncoded(func(b *bytes.Buffer) error {
		b.WriteString("HTTP/1.1 " + strconv.Itoa(code) + " " + http.StatusText(code) + "\r\n")
		_ = h.Write(b) // writing to a bytes.Buffer never fails
		b.WriteString("\r\n")
		return nil
	}) // if the caller has disconnected, the next write returns the error
}

func (s *hijackedSink) write(data []byte) error {
	return s.writeEncoded(func(b *bytes.Buffer) error {
		_, err := httputil.NewChunkedWriter(b).Write(data)
		return err
	})
}

// writeEncoded encodes into a buffer and writes it in one call.
func (s *hijackedSink) writeEncoded(encode func(*bytes.Buffer) error) error {
	b := writeBuffers.Get().(*bytes.Buffer)
	defer writeBuffers.Put(b)
	b.Reset()
	if err := encode(b); err != nil {
		return err
	}
	if err := s.conn.SetWriteDeadline(time.Now().Add(callerWriteTimeout)); err != nil {
		return err
	}
	_, err := s.conn.Write(b.Bytes())
	return err
}

func (s *hijackedSink) end(refusal *outcome.Refusal) error {
	if !s.headSent && refusal != nil {
		s.writeProblem(refusal)
		return nil
	}
	result := outcome.Completed
	if refusal != nil {
		result = refusal.Outcome
		_ = s.write(errorEvent(refusal, s.id)) // an error means that the caller has disconnected
	}
	_ = s.writeEncoded(func(b *bytes.Buffer) error {
		b.WriteString("0\r\n" + outcome.HeaderOutcome + ": " + string(result) + "\r\n\r\n")
		return nil
	}) // an error means that the caller has disconnected
	return nil
}

// writeProblem sends a problem document instead of a stream.
func (s *hijackedSink) writeProblem(refusal *outcome.Refusal) {
	response := http.Response{
		StatusCode: refusal.Status(), ProtoMajor: 1, ProtoMinor: 1, Close: true, Header: http.Header{},
	}
	setProblemHeaders(response.Header, s.id, refusal)
	document, err := json.Marshal(refusal.Problem(s.id))
	if err != nil {
		panic(err) // a Problem has only fields that can be encoded
	}
	response.Body = io.NopCloser(bytes.NewReader(document))
	response.ContentLength = int64(len(document))
	_ = s.writeEncoded(func(b *bytes.Buffer) error { return response.Write(b) }) // an error means that the caller has disconnected
}

// hijackableWriter is a response writer that discards what the HTTP framework
// writes after the connection was hijacked.
type hijackableWriter struct {
	http.ResponseWriter
	hijacked bool
}

// Hijack takes the connection from the HTTP server.
func (w *hijackableWriter) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	conn, buffered, err := http.NewResponseController(w.ResponseWriter).Hijack()
	w.hijacked = err == nil
	return conn, buffered, err
}

// WriteHeader sets the status, unless the connection was hijacked.
func (w *hijackableWriter) WriteHeader(code int) {
	if !w.hijacked {
		w.ResponseWriter.WriteHeader(code)
	}
}

// Write writes data. It fails when the connection was hijacked.
func (w *hijackableWriter) Write(data []byte) (int, error) {
	if w.hijacked {
		return 0, http.ErrHijacked
	}
	return w.ResponseWriter.Write(data)
}

// Flush sends buffered data, unless the connection was hijacked.
func (w *hijackableWriter) Flush() {
	if !w.hijacked {
		_ = http.NewResponseController(w.ResponseWriter).Flush() // the next write fails too
	}
}
