package entry

import (
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/membudget"
	"github.com/sesameswitch/sesameswitch/outcome"
)

// responseSink is a sink that can end the response.
type responseSink interface {
	sink
	// end ends the response; a nil refusal means that the response is complete. It returns
	// errUnreadResponse if the response had to give way, and os.ErrDeadlineExceeded if the caller
	// did not read it in time. A caller that has disconnected is no error.
	end(refusal *outcome.Refusal) error
}

const (
	// minResponseBuffer is the size of the first buffer of a response.
	minResponseBuffer = 4 << 10
	// responseMemoryWait is how long a response waits for memory, and responseMemoryPoll how often
	// it looks for it. Responses that are not read give way after membudget.StallTime.
	responseMemoryWait = 3 * membudget.StallTime
	responseMemoryPoll = 10 * time.Millisecond
	// responsePieceBytes is the size of one write to a caller.
	responsePieceBytes = 16 << 10
)

// errNoResponseMemory means that there was no memory for a response within responseMemoryWait.
var errNoResponseMemory = eris.New("entry: no memory for the response")

// bufferSink sends a response once it is complete, or a problem document.
type bufferSink struct {
	w  http.ResponseWriter
	id string
	// memory is what the request and its response hold; nil without a limit.
	memory *membudget.Claim
	// exchange breaks off if the caller does not read while memory is short; nil without a limit.
	exchange *exchange
	code     int
	header   map[string]string
	body     []byte
}

func newBufferSink(w http.ResponseWriter, r *http.Request, req *request) *bufferSink {
	s := &bufferSink{w: w, id: req.id, memory: req.memory}
	if req.memory != nil {
		s.exchange = currentExchange(r)
	}
	return s
}

func (s *bufferSink) head(code int, header map[string]string) {
	s.code = code
	s.header = header
	s.body = s.body[:0]
}

func (s *bufferSink) write(data []byte) error {
	if len(s.body)+len(data) > maxBufferedBytes {
		return eris.New("entry: the response is too long to buffer")
	}
	if err := s.reserve(len(s.body) + len(data)); err != nil {
		return err
	}
	s.body = append(s.body, data...)
	return nil
}

// reserve makes the buffer hold at least the given bytes. It waits for memory.
func (s *bufferSink) reserve(needed int) error {
	if needed <= cap(s.body) {
		return nil
	}
	size := min(max(needed, minResponseBuffer, 2*cap(s.body)), maxBufferedBytes)
	for deadline := time.Now().Add(responseMemoryWait); !s.memory.Replace(int64(cap(s.body)), int64(size)); {
		if time.Now().After(deadline) {
			return errNoResponseMemory
		}
		time.Sleep(responseMemoryPoll)
	}
	grown := make([]byte, len(s.body), size)
	copy(grown, s.body)
	s.memory.Shrink(int64(cap(s.body)))
	s.body = grown
	return nil
}

func (s *bufferSink) end(refusal *outcome.Refusal) error {
	if refusal != nil {
		writeProblem(s.w, s.id, refusal)
		return nil
	}
	h := s.w.Header()
	copyHeaders(h, s.header)
	h.Set(outcome.HeaderOutcome, string(outcome.Completed))
	h.Set(HeaderRequestID, s.id)
	h.Set("Content-Length", strconv.Itoa(len(s.body)))
	s.w.WriteHeader(s.code)
	err := s.writeBody()
	if errors.Is(err, errUnreadResponse) || errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	return nil // another error means that the caller has disconnected
}

// writeBody writes the body in pieces. If the caller reads none of them for membudget.StallTime, the
// response gives way when memory is short; after callerWriteTimeout it fails in any case.
func (s *bufferSink) writeBody() error {
	if s.exchange == nil {
		_, err := s.w.Write(s.body)
		return err
	}
	s.memory.AwaitProgress()
	err := s.writePieces()
	s.memory.Complete()
	return s.exchange.end(err)
}

func (s *bufferSink) writePieces() error {
	for piece := range slices.Chunk(s.body, responsePieceBytes) {
		if err := s.exchange.allowWrite(); err != nil {
			return err
		}
		n, err := s.w.Write(piece)
		if err != nil {
			return err
		}
		s.memory.Received(n)
	}
	if f, ok := s.w.(http.Flusher); ok {
		f.Flush() // within the time of the last write
	}
	return nil
}

// streamSink forwards a server-sent event stream as it arrives. The outcome
// follows as a trailer, and a broken stream ends with an error event.
type streamSink struct {
	w        http.ResponseWriter
	id       string
	headSent bool
}

func newStreamSink(w http.ResponseWriter, id string) *streamSink {
	return &streamSink{w: w, id: id}
}

func (s *streamSink) head(code int, header map[string]string) {
	s.headSent = true
	setStreamHeaders(s.w.Header(), header, s.id)
	s.w.WriteHeader(code)
}

// setStreamHeaders sets the headers of a stream.
func setStreamHeaders(h http.Header, from map[string]string, id string) {
	copyHeaders(h, from)
	h.Del("Content-Length")
	h.Set("Cache-Control", "no-store")
	h.Set("Trailer", outcome.HeaderOutcome)
	h.Set(HeaderRequestID, id)
}

func (s *streamSink) write(data []byte) error {
	if _, err := s.w.Write(data); err != nil {
		return err
	}
	if f, ok := s.w.(http.Flusher); ok {
		f.Flush()
	}
	return nil
}

func (s *streamSink) end(refusal *outcome.Refusal) error {
	if refusal == nil {
		s.w.Header().Set(outcome.HeaderOutcome, string(outcome.Completed))
		return nil
	}
	if !s.headSent {
		writeProblem(s.w, s.id, refusal)
		return nil
	}
	_ = s.write(errorEvent(refusal, s.id)) // an error means that the caller has disconnected
	s.w.Header().Set(outcome.HeaderOutcome, string(refusal.Outcome))
	return nil
}

// errorEvent returns the event that ends a broken stream.
func errorEvent(refusal *outcome.Refusal, id string) []byte {
	problem, err := json.Marshal(refusal.Problem(id))
	if err != nil {
		panic(err) // a Problem has only fields that can be encoded
	}
	event := append([]byte("event: error\ndata: "), problem...)
	return append(event, "\n\n"...)
}

func copyHeaders(to http.Header, from map[string]string) {
	for name, value := range from {
		to.Set(name, value)
	}
}

// writeProblem sends a problem document as the response.
func writeProblem(w http.ResponseWriter, id string, refusal *outcome.Refusal) {
	setProblemHeaders(w.Header(), id, refusal)
	w.WriteHeader(refusal.Status())
	_ = json.NewEncoder(w).Encode(refusal.Problem(id)) // an error means that the caller has disconnected
}

func setProblemHeaders(h http.Header, id string, refusal *outcome.Refusal) {
	h.Set("Content-Type", outcome.ProblemContentType)
	h.Set(outcome.HeaderOutcome, string(refusal.Outcome))
	h.Set(HeaderRequestID, id)
	if seconds := refusal.RetryAfterSeconds(); seconds > 0 {
		h.Set("Retry-After", strconv.Itoa(seconds))
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // an error means that the caller has disconnected
}
