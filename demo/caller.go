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

// callerPause is the time between two requests of one caller.
const callerPause = 100 * time.Millisecond

// answerTimeout bounds one request of the demo.
const answerTimeout = 30 * time.Second

// caller sends requests of one kind, several at a time.
type caller struct {
	deployment deployment
	kind       kind
	site       *site
	tally      *tally
}

func (k kind) caller(d deployment, s *site, t *tally) *caller {
	return &caller{deployment: d, kind: k, site: s, tally: t}
}

// run sends until the context ends; requests in flight are finished.
func (c *caller) run(ctx context.Context) {
	var senders sync.WaitGroup
	for i := range c.kind.callers {
		senders.Go(func() { c.sender(ctx, i) })
	}
	senders.Wait()
}

func (c *caller) sender(ctx context.Context, number int) {
	for n := 0; ctx.Err() == nil; n++ {
		if c.kind.keyed {
			c.sendTwice(n, number)
		} else {
			c.tally.add(c.deployment.name, c.kind.class, c.send((n+number)%2, "", n))
		}
		timer := time.NewTimer(callerPause)
		select {
		case <-ctx.Done():
			timer.Stop()
		case <-timer.C:
		}
	}
}

// sendTwice sends one key through both entries at the same time.
func (c *caller) sendTwice(n, number int) {
	key, ok := c.mint()
	if !ok {
		c.tally.add(c.deployment.name, c.kind.class, answer{outcome: outcome.NotRun})
		return
	}
	var answers [2]answer
	var both sync.WaitGroup
	for i := range answers {
		both.Go(func() { answers[i] = c.send(i, key, n*100+number) })
	}
	both.Wait()
	c.tally.add(c.deployment.name, c.kind.class, answers[0])
	c.tally.addRepeat(c.deployment.name, c.kind.class, answers[0], answers[1])
}

func (c *caller) mint() (string, bool) {
	body := fmt.Sprintf(`{"class":%q,"service":%q}`, c.kind.class, c.deployment.service)
	a := c.do(0, http.MethodPost, "/v1/keys", "", body)
	var minted struct {
		Key string `json:"key"`
	}
	err := json.Unmarshal(a.body, &minted)
	return minted.Key, err == nil && minted.Key != ""
}

// send sends one request through an entry.
func (c *caller) send(entryIndex int, key string, n int) answer {
	if c.kind.path != "" {
		body := ""
		if c.kind.method == http.MethodPost {
			body = fmt.Sprintf(`{"number":%d}`, n)
		}
		return c.do(entryIndex, c.kind.method, "/v1/services/"+c.deployment.service+c.kind.path, key, body)
	}
	body := fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"user","content":"%s %d"}]}`,
		c.deployment.model, c.kind.stream, c.kind.class, n)
	a := c.do(entryIndex, http.MethodPost, "/v1/chat/completions", "", body)
	if c.kind.stream {
		a.whole = bytes.HasSuffix(a.body, []byte("data: [DONE]\n\n"))
	}
	return a
}

// answer is what a caller got.
type answer struct {
	outcome   outcome.Outcome
	whole     bool
	requestID string
	body      []byte
	took      time.Duration
}

func (c *caller) do(entryIndex int, method, path, key, body string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	began := time.Now()
	url := "http://" + c.site.entries[entryIndex].Address("callers") + path
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		panic(err) // the address and the path are the demo's own
	}
	request.Header.Set("Authorization", "Bearer "+c.deployment.bearer())
	request.Header.Set(entry.HeaderClass, c.kind.class)
	if key != "" {
		request.Header.Set(entry.HeaderIdempotencyKey, key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{}
	}
	defer func() { _ = response.Body.Close() }() // it was read to its end
	data, err := io.ReadAll(response.Body)
	a := answer{
		outcome: outcome.Outcome(response.Header.Get(outcome.HeaderOutcome)), whole: err == nil,
		requestID: response.Header.Get(entry.HeaderRequestID), body: data, took: time.Since(began),
	}
	if a.outcome == "" {
		a.outcome = outcome.Outcome(response.Trailer.Get(outcome.HeaderOutcome))
	}
	return a
}
