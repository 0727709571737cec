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

// ResultStatus is how a request ended for its caller.
type ResultStatus string

// Statuses of requests.
const (
	// StatusCompleted means a complete response with the expected content.
	StatusCompleted ResultStatus = "completed"
	// StatusRefused means an error response with a reason.
	StatusRefused ResultStatus = "refused"
	// StatusTruncated means a stream that ended before its end marker.
	StatusTruncated ResultStatus = "broken"
	// StatusMismatch means a complete response whose content differs from the
	// expected one, for example the response to another request.
	StatusMismatch ResultStatus = "wrong"
	// StatusDisconnected means that the caller disconnected as planned.
	StatusDisconnected ResultStatus = "hung_up"
	// StatusTimedOut means that the caller's response timeout expired.
	StatusTimedOut ResultStatus = "out_of_patience"
	// StatusConnectionFailed means that no response head was received.
	StatusConnectionFailed ResultStatus = "failed"
)

// Result is the result of one planned request. All durations but PlannedAt are
// counted from the planned arrival.
type Result struct {
	Class   int
	Account string
	// PlannedAt is the planned arrival, counted from the start of the run.
	PlannedAt time.Duration
	Status    ResultStatus
	Reason    outcome.Reason
	Attempts  int
	// SendDelay is how late the first attempt was sent.
	SendDelay  time.Duration
	FirstToken time.Duration
	LastToken  time.Duration
	EndToEnd   time.Duration
	Tokens     int
	// InterTokenGaps holds the times between consecutive tokens.
	InterTokenGaps []time.Duration
}

// caller sends requests of one account and class to one entry.
type caller struct {
	client *http.Client
	url    string
	key    string
	class  string
}

// chatRequest is the body of a chat completion request.
type chatRequest struct {
	Model    string           `json:"model"`
	Messages []engine.Message `json:"messages"`
	Stream   bool             `json:"stream"`
	Tokens   int              `json:"sesame_tokens"`
}

// newHTTPClient returns a client that keeps enough idle connections for all
// callers to reuse theirs.
func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 20_000,
		DisableCompression:  true,
	}}
}

// attempt sends the request once, reads the response and records the result.
// Times are measured from arrivalTime, the planned arrival.
func (c *caller) attempt(ctx context.Context, arrival *Arrival, arrivalTime time.Time, result *Result) {
	response, err := c.send(ctx, arrival)
	if err != nil {
		result.Status = StatusConnectionFailed
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		result.Status = StatusRefused
		result.Reason = refusalReason(response)
		return
	}
	content, complete, reason := readStream(response, arrivalTime, result)
	result.EndToEnd = time.Since(arrivalTime)
	result.Reason = reason
	switch {
	case !complete:
		result.Status = StatusTruncated
	case content != engine.ResponseText(arrival.Prompt, arrival.Tokens):
		result.Status = StatusMismatch
	default:
		result.Status = StatusCompleted
	}
}

func (c *caller) send(ctx context.Context, arrival *Arrival) (*http.Response, error) {
	body, err := json.Marshal(chatRequest{
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

// refusalReason returns the reason of an error response, or the text of its HTTP
// status if the body has none.
func refusalReason(response *http.Response) outcome.Reason {
	var problem outcome.Problem
	if json.NewDecoder(response.Body).Decode(&problem) != nil || problem.Reason == outcome.ReasonNone {
		return outcome.Reason(http.StatusText(response.StatusCode))
	}
	return problem.Reason
}

// streamEvent is the data of one event of a stream: a chunk or a problem.
type streamEvent struct {
	Reason  outcome.Reason `json:"reason"`
	Choices []struct {
		Delta engine.Message `json:"delta"`
	} `json:"choices"`
}

// readStream reads a stream to its end and records the times of its tokens,
// measured from arrivalTime. The stream is complete only if it has the end marker.
func readStream(response *http.Response, arrivalTime time.Time, result *Result) (content string, complete bool, reason outcome.Reason) {
	var text strings.Builder
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		data, found := bytes.CutPrefix(scanner.Bytes(), []byte("data: "))
		if !found {
			continue
		}
		if string(data) == "[DONE]" {
			complete = true
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
		text.WriteString(event.Choices[0].Delta.Content)
		result.addToken(time.Since(arrivalTime))
	}
	return text.String(), complete, reason
}

// addToken records a token received at the given time.
func (r *Result) addToken(at time.Duration) {
	if r.Tokens == 0 {
		r.FirstToken = at
	} else {
		r.InterTokenGaps = append(r.InterTokenGaps, at-r.LastToken)
	}
	r.LastToken = at
	r.Tokens++
}
