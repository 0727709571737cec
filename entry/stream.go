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

// callerWriteTimeout ends a stream whose caller takes no bytes.
const callerWriteTimeout = 30 * time.Second

// detach takes the caller's connection over from the HTTP server, so that an
// open stream holds neither the server's buffers nor its goroutines. It
// returns false where that is not possible, and the stream then goes through
// the server.
func detach(w http.ResponseWriter, r *http.Request) (net.Conn, bool) {
	hijacker, ok := w.(http.Hijacker)
	if !ok || !r.ProtoAtLeast(1, 1) || r.ProtoMajor > 1 {
		return nil, false
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return nil, false
	}
	_ = conn.SetDeadline(time.Time{}) // a connection that fails here fails at the first write
	return conn, true
}

// serveDetached answers a request on a connection of its own.
func (e *Entry) serveDetached(conn net.Conn, req *request) {
	defer e.streams.Add(-1)
	defer conn.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer e.hangUps.add(conn, cancel)()
	e.finish(ctx, req, &detachedSink{conn: conn, id: req.id})
}

// detachedSink writes a stream to a connection that was taken over.
type detachedSink struct {
	conn  net.Conn
	id    string
	begun bool
}

// chunkBuffers hold chunks while they are encoded.
var chunkBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

func (s *detachedSink) head(code int, header map[string]string) {
	s.begun = true
	h := http.Header{}
	streamHeaders(h, header, s.id)
	h.Set("Transfer-Encoding", "chunked")
	h.Set("Connection", "close")
	h.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	_ = s.send(func(b *bytes.Buffer) error {
		b.WriteString("HTTP/1.1 " + strconv.Itoa(code) + " " + http.StatusText(code) + "\r\n")
		_ = h.Write(b) // a buffer takes everything
		b.WriteString("\r\n")
		return nil
	}) // the next write reports a caller that is gone
}

func (s *detachedSink) write(data []byte) error {
	return s.send(func(b *bytes.Buffer) error {
		_, err := httputil.NewChunkedWriter(b).Write(data)
		return err
	})
}

// send encodes into a buffer and writes it in one piece.
func (s *detachedSink) send(encode func(*bytes.Buffer) error) error {
	b := chunkBuffers.Get().(*bytes.Buffer)
	defer chunkBuffers.Put(b)
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

func (s *detachedSink) end(refusal *outcome.Refusal) {
	if !s.begun && refusal != nil {
		s.problem(refusal)
		return
	}
	result := outcome.Completed
	if refusal != nil {
		result = refusal.Outcome
		_ = s.write(errorEvent(refusal, s.id)) // a caller that is gone has no use for it
	}
	_ = s.send(func(b *bytes.Buffer) error {
		b.WriteString("0\r\n" + outcome.HeaderOutcome + ": " + string(result) + "\r\n\r\n")
		return nil
	}) // a caller that is gone has no use for it
}

// problem answers with a problem document instead of a stream.
func (s *detachedSink) problem(refusal *outcome.Refusal) {
	response := http.Response{
		StatusCode: refusal.Status(), ProtoMajor: 1, ProtoMinor: 1, Close: true, Header: http.Header{},
	}
	problemHeaders(response.Header, s.id, refusal)
	document, err := json.Marshal(refusal.Problem(s.id))
	if err != nil {
		panic(err) // a Problem has only fields that can be encoded
	}
	response.Body = io.NopCloser(bytes.NewReader(document))
	response.ContentLength = int64(len(document))
	_ = s.send(func(b *bytes.Buffer) error { return response.Write(b) }) // a caller that is gone has no use for it
}

// takenWriter is a response writer that goes quiet once its connection was
// taken over; whatever the router still writes is dropped.
type takenWriter struct {
	http.ResponseWriter
	taken bool
}

// Hijack takes the connection over.
func (w *takenWriter) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	conn, buffered, err := http.NewResponseController(w.ResponseWriter).Hijack()
	w.taken = err == nil
	return conn, buffered, err
}

// WriteHeader passes the status on.
func (w *takenWriter) WriteHeader(code int) {
	if !w.taken {
		w.ResponseWriter.WriteHeader(code)
	}
}

// Write passes data on.
func (w *takenWriter) Write(data []byte) (int, error) {
	if w.taken {
		return 0, http.ErrHijacked
	}
	return w.ResponseWriter.Write(data)
}

// Flush sends what was written.
func (w *takenWriter) Flush() {
	if !w.taken {
		_ = http.NewResponseController(w.ResponseWriter).Flush() // the next write fails too
	}
}
