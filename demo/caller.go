package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/sesameswitch/sesameswitch/entry"
	"github.com/sesameswitch/sesameswitch/outcome"
)

// thinkTime is the time from the end of a request to the next request of the same
// sender.
const thinkTime = 100 * time.Millisecond

// requestTimeout bounds one request, including its response.
const requestTimeout = 30 * time.Second

// caller sends requests of one kind from several concurrent senders.
type caller struct {
	example exampleDeployment
	kind    requestKind
	running *runningDeployment
	tally   *tally
}

// newCaller returns a caller that sends requests of this kind.
func (k requestKind) newCaller(d exampleDeployment, running *runningDeployment, t *tally) *caller {
	return &caller{example: d, kind: k, running: running, tally: t}
}

// run sends requests until the context ends, and waits for the responses of
// requests in flight.
func (c *caller) run(ctx context.Context) {
	var senders sync.WaitGroup
	for i := range c.kind.senders {
		senders.Go(func() { c.sendLoop(ctx, i) })
	}
	senders.Wait()
}

// sendLoop sends the requests of one sender, one after another, until the context
// ends. It uses the two entries in turn.
func (c *caller) sendLoop(ctx context.Context, sender int) {
	for n := 0; ctx.Err() == nil; n++ {
		if c.kind.keyed {
			c.sendDuplicates(n, sender)
		} else {
			c.tally.add(c.example.name, c.kind.class, c.send((n+sender)%2, "", n))
		}
		timer := time.NewTimer(thinkTime)
		select {
		case <-ctx.Done():
			timer.Stop()
		case <-timer.C:
		}
	}
}

// sendDuplicates sends two requests with the same new key at the same time, one
// through each entry. If no key was minted, the request counts as not run.
func (c *caller) sendDuplicates(n, sender int) {
	key, ok := c.mintKey()
	if !ok {
		c.tally.add(c.example.name, c.kind.class, response{outcome: outcome.NotRun})
		return
	}
	var responses [2]response
	var both sync.WaitGroup
	for i := range responses {
		both.Go(func() { responses[i] = c.send(i, key, n*100+sender) })
	}
	both.Wait()
	c.tally.add(c.example.name, c.kind.class, responses[0])
	c.tally.addDuplicate(c.example.name, c.kind.class, responses[0], responses[1])
}

// mintKey requests a new idempotency key from the first entry.
func (c *caller) mintKey() (string, bool) {
	body := fmt.Sprintf(`{"class":%q,"service":%q}`, c.kind.class, c.example.service)
	resp := c.do(0, http.MethodPost, "/v1/keys", "", body)
	var minted struct {
		Key string `json:"key"`
	}
	err := json.Unmarshal(resp.body, &minted)
	return minted.Key, err == nil && minted.Key != ""
}

// send sends one request of the kind through an entry. Its content depends on n.
func (c *caller) send(entryIndex int, key string, n int) response {
	if c.kind.path != "" {
		body := ""
		if c.kind.method == http.MethodPost {
			body = fmt.Sprintf(`{"number":%d}`, n)
		}
		return c.do(entryIndex, c.kind.method, "/v1/services/"+c.example.service+c.kind.path, key, body)
	}
	body := fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"user","content":"%s %d"}]}`,
		c.example.model, c.kind.stream, c.kind.class, n)
	resp := c.do(entryIndex, http.MethodPost, "/v1/chat/completions", "", body)
	if c.kind.stream {
		resp.complete = bytes.HasSuffix(resp.body, []byte("data: [DONE]\n\n"))
	}
	return resp
}

// response is the response to one request, as the caller received it. It is empty
// after a connection error.
type response struct {
	outcome outcome.Outcome
	// complete reports whether the body, and the end marker of a stream, were
	// received.
	complete  bool
	requestID string
	body      []byte
	latency   time.Duration
}

// do sends one HTTP request through an entry and reads the response to its end. The
// outcome of a stream is in a trailer.
func (c *caller) do(entryIndex int, method, path, key, body string) response {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	start := time.Now()
	url := "http://" + c.running.entries[entryIndex].Address("callers") + path
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		panic(err) // the URL is built from known values
	}
	request.Header.Set("Authorization", "Bearer "+c.example.apiKey())
	request.Header.Set(entry.HeaderClass, c.kind.class)
	if key != "" {
		request.Header.Set(entry.HeaderIdempotencyKey, key)
	}
	httpResponse, err := http.DefaultClient.Do(request)
	if err != nil {
		return response{}
	}
	defer func() { _ = httpResponse.Body.Close() }() // the body was read to its end
	data, err := io.ReadAll(httpResponse.Body)
	resp := response{
		outcome: outcome.Outcome(httpResponse.Header.Get(outcome.HeaderOutcome)), complete: err == nil,
		requestID: httpResponse.Header.Get(entry.HeaderRequestID), body: data, latency: time.Since(start),
	}
	if resp.outcome == "" {
		resp.outcome = outcome.Outcome(httpResponse.Trailer.Get(outcome.HeaderOutcome))
	}
	return resp
}
