package engine

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/sesameswitch/sesameswitch/standin/internal/control"
)

const maxRequestBytes = 8 << 20

// Request is the body of a chat completion, as far as the engine reads it.
type Request struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	// Priority orders the engine's queue, lowest number first.
	Priority int `json:"priority,omitempty"`
	// Tokens fixes the length of the answer.
	Tokens int `json:"sesame_tokens,omitempty"`
	// ResumeAfter leaves out this many tokens that the caller has already.
	ResumeAfter int `json:"sesame_resume_after,omitempty"`
}

// complete runs one chat completion.
func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
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
	run, status := s.start(&request, r.Header.Get(HeaderRunID))
	if status != http.StatusOK {
		http.Error(w, http.StatusText(status), status)
		return
	}
	defer s.cancel(run)
	answer := newAnswer(s, w, r, &request, run)
	if request.Stream {
		answer.stream()
		return
	}
	answer.whole()
}

// drain reads the body to its end, so that the server notices when the
// caller goes.
func drain(body interface{ Read([]byte) (int, error) }) {
	var rest [512]byte
	for {
		if _, err := body.Read(rest[:]); err != nil {
			return
		}
	}
}

// start queues a run of the request, or returns the status of its refusal.
func (s *Server) start(request *Request, id string) (*run, int) {
	prompt := Prompt(request.Messages)
	total := s.length(request, xxhash.Sum64String(prompt))
	r := &run{
		id:       id,
		priority: request.Priority,
		prompt:   prompt,
		from:     min(max(0, request.ResumeAfter), total),
		total:    total,
		wake:     make(chan struct{}, 1),
		index:    -1,
	}
	r.produced.Store(int64(r.from))
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.models) > 0 && !s.models[request.Model] {
		return nil, http.StatusNotFound
	}
	if r.from < r.total && !s.batch.add(r) {
		return nil, http.StatusTooManyRequests
	}
	s.runs[id]++
	s.wake()
	return r, http.StatusOK
}

// length returns the number of tokens of the whole answer.
func (s *Server) length(request *Request, promptSum uint64) int {
	if request.Tokens > 0 {
		return request.Tokens
	}
	limit := s.settings.MaxTokens
	if request.MaxTokens > 0 {
		limit = min(limit, request.MaxTokens)
	}
	return min(drawLength(&s.settings, promptSum), limit)
}

// cancel gives up the run unless it has ended.
func (s *Server) cancel(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.batch.cancel(r)
	s.recordLoad(s.clock.Now())
}

// answer writes the answer to one request.
type answer struct {
	server  *Server
	writer  http.ResponseWriter
	request *http.Request
	flush   func() error
	run     *run
	sum     uint64
	model   string
	id      string
}

func newAnswer(s *Server, w http.ResponseWriter, r *http.Request, request *Request, run *run) *answer {
	sum := xxhash.Sum64String(run.prompt)
	return &answer{
		server:  s,
		writer:  w,
		request: r,
		flush:   http.NewResponseController(w).Flush,
		run:     run,
		sum:     sum,
		model:   request.Model,
		id:      "chatcmpl-" + strings.TrimSpace(tokenOf(sum, 0)),
	}
}

// await returns the number of tokens produced once it is above seen, or -1
// when the caller has gone or the engine stopped.
func (a *answer) await(seen int) int {
	for {
		if produced := int(a.run.produced.Load()); produced > seen {
			return produced
		}
		select {
		case <-a.run.wake:
		case <-a.request.Context().Done():
			return -1
		case <-a.server.stop:
			return -1
		}
	}
}

// whole writes the answer as one JSON document.
func (a *answer) whole() {
	for produced := a.run.from; produced < a.run.total; {
		produced = a.await(produced)
		if produced < 0 {
			control.Abort()
		}
	}
	var text strings.Builder
	for i := a.run.from; i < a.run.total; i++ {
		text.WriteString(tokenOf(a.sum, i))
	}
	control.WriteJSON(a.writer, completion{
		ID:     a.id,
		Object: "chat.completion",
		Model:  a.model,
		Choices: []choice{{
			Message:      Message{Role: "assistant", Content: text.String()},
			FinishReason: "stop",
		}},
		Usage: usage{
			PromptTokens:     a.run.tokens,
			CompletionTokens: a.run.total,
			TotalTokens:      a.run.tokens + a.run.total,
		},
	})
}

// completion is the JSON answer of a chat completion.
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

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}
