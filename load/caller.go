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

// Statuses of a request.
const (
	// StatusCompleted means a complete response with the expected content.
	StatusCompleted ResultStatus = "completed"
	// StatusRefused means a response with an HTTP status other than 200.
	StatusRefused ResultStatus = "refused"
	// StatusTruncated means a stream that ended without its end marker.
	StatusTruncated ResultStatus = "broken"
	// StatusMismatch means a complete response with unexpected content, for
	// example the response to another request.
	StatusMismatch ResultStatus = "wrong"
	// StatusDisconnected means that the caller disconnected as planned.
	StatusDisconnected ResultStatus = "hung_up"
	// StatusTimedOut means that the response timeout of the scenario expired.
	StatusTimedOut ResultStatus = "out_of_patience"
	// StatusConnectionFailed means that no response head was received.
	StatusConnectionFailed ResultStatus = "failed"
)

// Result is the result of one planned request.
type Result struct {
	// Class is the index of the class in the scenario.
	Class   int
	Account string
	// PlannedAt is the time from the start of the run to the planned arrival.
	PlannedAt time.Duration
	Status    ResultStatus
	// Reason is the reason of a refusal or of an error event in the stream.
	Reason   outcome.Reason
	Attempts int
	// SendDelay is how late the first attempt was sent.
	SendDelay time.Duration
	// FirstToken, LastToken and EndToEnd are the times from the planned arrival to
	// the first token, the last token and the end of the stream. They are 0 if
	// there was none.
	FirstToken time.Duration
	LastToken  time.Duration
	EndToEnd   time.Duration
	// Tokens is the number of received tokens.
	Tokens int
	// InterTokenGaps holds the times between consecutive tokens.
	InterTokenGaps []time.Duration
}

// caller sends requests of one account and class to one entry.
type caller struct {
	client *http.Client
	url    string
	apiKey string
	class  string
}

// chatRequest is the body of a chat completion request.
type chatRequest struct {
	Model    string           `json:"model"`
	Messages []engine.Message `json:"messages"`
	Stream   bool             `json:"stream"`
	// Tokens sets the length of the response. Only the stand-in engine supports
	// this field.
	Tokens int `json:"sesame_tokens"`
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
	request.Header.Set("Authorization", "Bearer "+c.apiKey)
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

// streamEvent is the data of one event of a stream: a chunk of the response or an
// error with a reason.
type streamEvent struct {
	Reason  outcome.Reason `json:"reason"`
	Choices []struct {
		Delta engine.Message `json:"delta"`
	} `json:"choices"`
}

// readStream reads a stream to its end and records the times of its tokens,
// measured from arrivalTime. The stream is complete only if it has the end marker.
// The reason is that of an error event, if there was one.
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

// addToken records a token received at the given time after the planned arrival.
func (r *Result) addToken(at time.Duration) {
	if r.Tokens == 0 {
		r.FirstToken = at
	} else {
		r.InterTokenGaps = append(r.InterTokenGaps, at-r.LastToken)
	}
	r.LastToken = at
	r.Tokens++
}
