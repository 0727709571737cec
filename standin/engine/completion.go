package engine

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/sesameswitch/sesameswitch/standin/internal/control"
)

// maxRequestBytes is the maximum size of a request body.
const maxRequestBytes = 8 << 20

// Request is the body of a chat completion request. Fields that the engine does
// not use are absent.
type Request struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	// Priority is the priority in the engine's queue; the lowest number is first.
	Priority int `json:"priority,omitempty"`
	// Tokens, if above 0, is the exact length of the complete response, in tokens.
	Tokens int `json:"sesame_tokens,omitempty"`
	// ResumeAfter is the number of tokens that the caller already has from an
	// earlier run; the response contains only those after them.
	ResumeAfter int `json:"sesame_resume_after,omitempty"`
}

// serveCompletion runs one chat completion request.
func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var request Request
	body := http.MaxBytesReader(w, r.Body, maxRequestBytes)
	if err := json.NewDecoder(body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	drain(body)
	faults := s.faults.Load()
	if faults.Status != 0 {
		http.Error(w, "fault", faults.Status)
		return
	}
	run, status := s.startRun(&request, r.Header.Get(HeaderRunID))
	if status != http.StatusOK {
		http.Error(w, http.StatusText(status), status)
		return
	}
	defer s.cancel(run)
	rw := newResponseWriter(s, w, r, &request, run)
	if request.Stream {
		rw.writeStream()
		return
	}
	rw.writeDocument()
}

// drain reads the body to its end, so that the HTTP server detects when the
// caller disconnects.
func drain(body interface{ Read([]byte) (int, error) }) {
	var rest [512]byte
	for {
		if _, err := body.Read(rest[:]); err != nil {
			return
		}
	}
}

// startRun queues a run of the request and returns it with status 200. If the model
// is not loaded or the queue is full, it returns the HTTP status of the refusal. A run
// that resumes a response after its last token has nothing to produce and is not
// queued.
func (s *Server) startRun(request *Request, id string) (*run, int) {
	prompt := Prompt(request.Messages)
	totalTokens := s.responseTokens(request, xxhash.Sum64String(prompt))
	r := &run{
		id:          id,
		priority:    request.Priority,
		prompt:      prompt,
		firstToken:  min(max(0, request.ResumeAfter), totalTokens),
		totalTokens: totalTokens,
		progressed:  make(chan struct{}, 1),
		queueIndex:  -1,
	}
	r.produced.Store(int64(r.firstToken))
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.models) > 0 && !s.models[request.Model] {
		return nil, http.StatusNotFound
	}
	if r.firstToken < r.totalTokens && !s.batch.enqueue(r) {
		return nil, http.StatusTooManyRequests
	}
	s.runs[id]++
	s.wakeLoop()
	return r, http.StatusOK
}

// responseTokens returns the number of tokens of the complete response, including
// those that a resumed response leaves out.
func (s *Server) responseTokens(request *Request, promptHash uint64) int {
	if request.Tokens > 0 {
		return request.Tokens
	}
	limit := s.settings.MaxTokens
	if request.MaxTokens > 0 {
		limit = min(limit, request.MaxTokens)
	}
	return min(sampleLength(&s.settings, promptHash), limit)
}

// cancel cancels the run unless it has ended.
func (s *Server) cancel(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.batch.cancel(r)
	s.recordLoad(s.clock.Now())
}

// responseWriter writes the response to one request.
type responseWriter struct {
	server     *Server
	writer     http.ResponseWriter
	request    *http.Request
	flush      func() error
	run        *run
	promptHash uint64
	model      string
	id         string
}

func newResponseWriter(s *Server, w http.ResponseWriter, r *http.Request, request *Request, run *run) *responseWriter {
	promptHash := xxhash.Sum64String(run.prompt)
	return &responseWriter{
		server:     s,
		writer:     w,
		request:    r,
		flush:      http.NewResponseController(w).Flush,
		run:        run,
		promptHash: promptHash,
		model:      request.Model,
		id:         "chatcmpl-" + strings.TrimSpace(tokenText(promptHash, 0)),
	}
}

// awaitTokens waits until more than known tokens of the response are produced and
// returns their number. It returns -1 if the caller has disconnected or the engine has
// stopped.
func (rw *responseWriter) awaitTokens(known int) int {
	for {
		if produced := int(rw.run.produced.Load()); produced > known {
			return produced
		}
		select {
		case <-rw.run.progressed:
		case <-rw.request.Context().Done():
			return -1
		case <-rw.server.stop:
			return -1
		}
	}
}

// writeDocument writes the response as one JSON document after the run has
// completed.
func (rw *responseWriter) writeDocument() {
	for produced := rw.run.firstToken; produced < rw.run.totalTokens; {
		produced = rw.awaitTokens(produced)
		if produced < 0 {
			control.Abort()
		}
	}
	var text strings.Builder
	for i := rw.run.firstToken; i < rw.run.totalTokens; i++ {
		text.WriteString(tokenText(rw.promptHash, i))
	}
	control.WriteJSON(rw.writer, completion{
		ID:     rw.id,
		Object: "chat.completion",
		Model:  rw.model,
		Choices: []choice{{
			Message:      Message{Role: "assistant", Content: text.String()},
			FinishReason: "stop",
		}},
		Usage: usage{
			PromptTokens:     rw.run.promptTokens,
			CompletionTokens: rw.run.totalTokens,
			TotalTokens:      rw.run.promptTokens + rw.run.totalTokens,
		},
	})
}

// completion is the body of the response to a chat completion request.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
}

type choice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// usage holds the token counts. CompletionTokens includes the tokens that a resumed
// response leaves out.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}
