package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/sesameswitch/sesameswitch/outcome"
	"github.com/sesameswitch/sesameswitch/standin/engine"
)

// End is how a request ended for its caller.
type End string

// Ends of requests.
const (
	// EndCompleted is a whole and right answer.
	EndCompleted End = "completed"
	// EndRefused is an answer that says why there is none.
	EndRefused End = "refused"
	// EndBroken is a stream that ended early.
	EndBroken End = "broken"
	// EndWrong is an answer that looks whole and is not the caller's.
	EndWrong End = "wrong"
	// EndHungUp is a caller that left as planned.
	EndHungUp End = "hung_up"
	// EndImpatient is a caller whose patience ended.
	EndImpatient End = "out_of_patience"
	// EndFailed is a connection that failed.
	EndFailed End = "failed"
)

// Result is what became of one planned request. Times count from the planned
// arrival.
type Result struct {
	Class    int
	Account  string
	Planned  time.Duration
	End      End
	Reason   outcome.Reason
	Attempts int
	// SentAfter is how late the first attempt was sent.
	SentAfter  time.Duration
	FirstToken time.Duration
	LastToken  time.Duration
	Whole      time.Duration
	Tokens     int
	// Gaps are the times between tokens.
	Gaps []time.Duration
}

// caller sends requests to one entry.
type caller struct {
	client *http.Client
	url    string
	key    string
	class  string
}

// chatBody is the body of a request.
type chatBody struct {
	Model    string           `json:"model"`
	Messages []engine.Message `json:"messages"`
	Stream   bool             `json:"stream"`
	Tokens   int              `json:"sesame_tokens"`
}

// newCallerClient returns a client that holds as many connections as there
// are callers.
func newCallerClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 20_000,
		DisableCompression:  true,
	}}
}

// attempt sends the request once and reads its answer. origin is the planned
// arrival.
func (c *caller) attempt(ctx context.Context, arrival *Arrival, origin time.Time, result *Result) {
	response, err := c.send(ctx, arrival)
	if err != nil {
		result.End = EndFailed
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		result.End = EndRefused
		result.Reason = refusalReason(response)
		return
	}
	text, done, reason := readStream(response, origin, result)
	result.Whole = time.Since(origin)
	result.Reason = reason
	switch {
	case !done:
		result.End = EndBroken
	case text != engine.ResponseText(arrival.Prompt, arrival.Tokens):
		result.End = EndWrong
	default:
		result.End = EndCompleted
	}
}

func (c *caller) send(ctx context.Context, arrival *Arrival) (*http.Response, error) {
	body, err := json.Marshal(chatBody{
		Model:    modelName,
		Messages: []engine.Message{{Role: "user", Content: arrival.Prompt}},
		Stream:   true,
		Tokens:   arrival.Tokens,
	})
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Sesame-Class", c.class)
	return c.client.Do(request)
}

func refusalReason(response *http.Response) outcome.Reason {
	var problem outcome.Problem
	if json.NewDecoder(response.Body).Decode(&problem) != nil || problem.Reason == outcome.ReasonNone {
		return outcome.Reason(http.StatusText(response.StatusCode))
	}
	return problem.Reason
}

// streamEvent is the data of one event: a chunk or a problem.
type streamEvent struct {
	Reason  outcome.Reason `json:"reason"`
	Choices []struct {
		Delta engine.Message `json:"delta"`
	} `json:"choices"`
}

// readStream reads a stream to its end and notes the times of its tokens. It
// is done only with the end marker.
func readStream(response *http.Response, origin time.Time, result *Result) (text string, done bool, reason outcome.Reason) {
	var answer strings.Builder
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		data, found := bytes.CutPrefix(scanner.Bytes(), []byte("data: "))
		if !found {
			continue
		}
		if string(data) == "[DONE]" {
			done = true
			continue
		}
		var event streamEvent
		if json.Unmarshal(data, &event) != nil {
			continue
		}
		if event.Reason != outcome.ReasonNone {
			reason = event.Reason
		}
		if len(event.Choices) == 0 || event.Choices[0].Delta.Content == "" {
			continue
		}
		answer.WriteString(event.Choices[0].Delta.Content)
		result.token(time.Since(origin))
	}
	return answer.String(), done, reason
}

// token notes a token at a time.
func (r *Result) token(at time.Duration) {
	if r.Tokens == 0 {
		r.FirstToken = at
	} else {
		r.Gaps = append(r.Gaps, at-r.LastToken)
	}
	r.LastToken = at
	r.Tokens++
}
