package entry

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/outcome"
)

// responseSink is a sink that can end the response.
type responseSink interface {
	sink
	// end ends the response; a nil refusal means that the response is complete.
	end(refusal *outcome.Refusal)
}

// bufferSink sends a response once it is complete, or a problem document.
type bufferSink struct {
	w      http.ResponseWriter
	id     string
	code   int
	header map[string]string
	body   []byte
}

func newBufferSink(w http.ResponseWriter, id string) *bufferSink {
	return &bufferSink{w: w, id: id}
}

func (s *bufferSink) head(code int, header map[string]string) {
	s.code = code
	s.header = header
	s.body = nil
}

func (s *bufferSink) write(data []byte) error {
	if len(s.body)+len(data) > maxBufferedBytes {
		return eris.New("entry: the response is too long to buffer")
	}
	s.body = append(s.body, data...)
	return nil
}

func (s *bufferSink) end(refusal *outcome.Refusal) {
	if refusal != nil {
		writeProblem(s.w, s.id, refusal)
		return
	}
	h := s.w.Header()
	copyHeaders(h, s.header)
	h.Set(outcome.HeaderOutcome, string(outcome.Completed))
	h.Set(HeaderRequestID, s.id)
	h.Set("Content-Length", strconv.Itoa(len(s.body)))
	s.w.WriteHeader(s.code)
	_, _ = s.w.Write(s.body) // an error means that the caller has disconnected
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

func (s *streamSink) end(refusal *outcome.Refusal) {
	if refusal == nil {
		s.w.Header().Set(outcome.HeaderOutcome, string(outcome.Completed))
		return
	}
	if !s.headSent {
		writeProblem(s.w, s.id, refusal)
		return
	}
	_ = s.write(errorEvent(refusal, s.id)) // an error means that the caller has disconnected
	s.w.Header().Set(outcome.HeaderOutcome, string(refusal.Outcome))
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
