package prove

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/history"
	"github.com/sesameswitch/sesameswitch/outcome"
	"github.com/sesameswitch/sesameswitch/standin/engine"
	"github.com/sesameswitch/sesameswitch/standin/service"
)

const (
	// callTimeout is how long a caller waits for a complete response. It exceeds
	// the latency targets in the manifest.
	callTimeout = 6 * time.Second
	// shortTimeout makes a caller time out and retry its key while the first
	// request may still be running.
	shortTimeout = 60 * time.Millisecond
	// delayedCopyDelay is the time between a refusal and the arrival of a delayed
	// copy of the refused request.
	delayedCopyDelay = 700 * time.Millisecond
	// maxThinkTime bounds the random time between two requests of a caller.
	maxThinkTime = 120 * time.Millisecond
	// maxTokens bounds the length of a stream. One in longStreamEvery streams may
	// have up to maxLongTokens instead.
	maxTokens       = 300
	maxLongTokens   = 1500
	longStreamEvery = 8
)

// requestSpec describes a request that a caller sends once or several times.
type requestSpec struct {
	class string
	// key is the idempotency key. It is empty for an idempotent request.
	key string
	// label makes the content of the request unique.
	label  string
	apiKey string
	// tokens is the length of the response of a model engine. The plain service
	// ignores it.
	tokens int
}

// caller simulates a caller. It sends requests through randomly selected entries
// and records each call in the history of the cluster.
type caller struct {
	cluster *cluster
	client  *http.Client
	entries []*member
	name    string
	// labels counts the labels that nextLabel returned.
	labels int

	// mu guards rng, which concurrent calls of the caller share.
	mu  sync.Mutex
	rng *rand.Rand
	// keyedRequests lists the requests with a key that run has sent. Other
	// goroutines use it only after run has returned.
	keyedRequests []requestSpec
}

func newCaller(c *cluster, seed uint64, index int) *caller {
	return &caller{
		cluster: c,
		entries: c.entries,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
		name:    fmt.Sprintf("caller-%d", index),
		rng:     rand.New(rand.NewPCG(seed, uint64(index)+1)),
	}
}

func (cl *caller) randIntN(n int) int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.rng.IntN(n)
}

func (cl *caller) randTokens() int {
	if cl.randIntN(longStreamEvery) == 0 {
		return 1 + cl.randIntN(maxLongTokens)
	}
	return 1 + cl.randIntN(maxTokens)
}

func (cl *caller) pickEntry() *member { return cl.entries[cl.randIntN(len(cl.entries))] }

// run sends requests of random kinds until the given time of the history.
func (cl *caller) run(until time.Duration) {
	for cl.cluster.now() < until {
		switch choice := cl.randIntN(10); {
		case choice < 4:
			cl.sendKeyed(classPayment)
		case choice < 5:
			cl.sendKeyed(classOrder)
		case choice < 8:
			cl.sendChat()
		default:
			cl.sendLookup(cl.nextLabel())
		}
		time.Sleep(time.Duration(cl.randIntN(int(maxThinkTime))))
	}
}

func (cl *caller) nextLabel() string {
	cl.labels++
	return fmt.Sprintf("%s-%d", cl.name, cl.labels)
}

// sendKeyed mints a key and sends a request with it in one of four patterns: with
// retries until the outcome is known; twice concurrently; with a short timeout and
// one retry; or once, followed by two requests that misuse the key, one with other
// content and one of another account.
func (cl *caller) sendKeyed(class string) {
	spec := requestSpec{class: class, label: cl.nextLabel(), apiKey: accountAPIKey, tokens: cl.randTokens()}
	var err error
	if spec.key, err = cl.mintKey(class); err != nil {
		return
	}
	cl.keyedRequests = append(cl.keyedRequests, spec)
	switch cl.randIntN(4) {
	case 0:
		cl.retryUntilKnown(spec)
	case 1:
		var group sync.WaitGroup
		for range 2 {
			group.Go(func() { cl.sendAndRecord(spec, callTimeout) })
		}
		group.Wait()
	case 2:
		cl.sendAndRecord(spec, shortTimeout)
		cl.sendAndRecord(spec, callTimeout)
	case 3:
		cl.sendAndRecord(spec, callTimeout)
		cl.sendAndRecord(requestSpec{class: class, key: spec.key, label: spec.label + "-other", apiKey: accountAPIKey, tokens: spec.tokens}, callTimeout)
		cl.sendAndRecord(requestSpec{class: class, key: spec.key, label: spec.label, apiKey: otherAccountAPIKey, tokens: spec.tokens}, callTimeout)
	}
}

// retryUntilKnown sends a request up to three times, until its outcome is known.
// After a refusal as not_run it sends the request once more, as a delayed copy in
// the network would arrive, because a refused request must never run.
func (cl *caller) retryUntilKnown(spec requestSpec) {
	for range 3 {
		call := cl.sendAndRecord(spec, callTimeout)
		if !call.Returned || call.Outcome == outcome.Unknown {
			continue
		}
		if call.Outcome == outcome.NotRun {
			time.Sleep(delayedCopyDelay)
			cl.sendAndRecord(spec, callTimeout)
		}
		return
	}
}

// mintKey requests a new idempotency key for a class from an entry.
func (cl *caller) mintKey(class string) (string, error) {
	keyRequest := map[string]string{"class": class, "service": serviceName}
	if class == classOrder {
		keyRequest = map[string]string{"class": class, "model": orderModel}
	}
	body, err := json.Marshal(keyRequest)
	if err != nil {
		return "", eris.Wrap(err, "mint an idempotency key")
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	response, err := cl.post(ctx, cl.pickEntry(), "/v1/keys", accountAPIKey, "", class, body)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusCreated {
		return "", eris.Errorf("mint an idempotency key: got status %s", response.Status)
	}
	var reply struct {
		Key string `json:"key"`
	}
	err = json.NewDecoder(response.Body).Decode(&reply)
	return reply.Key, eris.Wrap(err, "mint an idempotency key")
}

func (cl *caller) post(ctx context.Context, e *member, path, apiKey, key, class string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.callerAddress+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, path)
	}
	request.Header.Set("Authorization", "Bearer "+apiKey)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Sesame-Class", class)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := cl.client.Do(request)
	return response, eris.Wrap(err, path)
}

// sendAndRecord sends a request with a key and records the call. Requests of the
// two accounts are recorded as different requests.
func (cl *caller) sendAndRecord(spec requestSpec, timeout time.Duration) history.Call {
	request := spec.label
	if spec.apiKey != accountAPIKey {
		request = otherAccount + "/" + spec.label
	}
	call := history.Call{Key: spec.key, Request: request, ShortTimeout: timeout == shortTimeout}
	if spec.class == classOrder {
		cl.streamChat(&call, spec, timeout)
	} else {
		cl.callService(&call, spec, "/payments/"+spec.label, timeout)
	}
	cl.cluster.recorder.RecordCall(call)
	return call
}

// sendChat sends an idempotent streaming request to a model engine.
func (cl *caller) sendChat() {
	call := history.Call{}
	cl.streamChat(&call, requestSpec{class: classChat, label: cl.nextLabel(), apiKey: accountAPIKey, tokens: cl.randTokens()}, callTimeout)
	cl.cluster.recorder.RecordCall(call)
}

// sendLookup sends an idempotent request to the plain service.
func (cl *caller) sendLookup(label string) {
	call := history.Call{}
	spec := requestSpec{class: classLookup, label: label, apiKey: accountAPIKey}
	cl.callService(&call, spec, "/seats/"+spec.label, callTimeout)
	cl.cluster.recorder.RecordCall(call)
}

// send sends a request through a random entry and records the entry and the
// invocation time in call.
func (cl *caller) send(ctx context.Context, call *history.Call, spec requestSpec, path string, body []byte) (*http.Response, error) {
	e := cl.pickEntry()
	call.Entry = e.Name
	call.InvokedAt = cl.cluster.now()
	return cl.post(ctx, e, path, spec.apiKey, spec.key, spec.class, body)
}

// recordEnd records the completion time and the outcome of a call. response is
// nil if the call failed before the response head arrived. A call without a key is
// identified by the request ID in the response. The outcome in the trailer of a
// stream replaces the one in its head.
func (cl *caller) recordEnd(call *history.Call, response *http.Response, err error) {
	call.CompletedAt = cl.cluster.now()
	if response == nil {
		return
	}
	if call.Request == "" {
		call.Request = response.Header.Get("Sesame-Request-Id")
	}
	call.Returned = err == nil
	call.Outcome = outcome.Outcome(response.Header.Get(outcome.HeaderOutcome))
	if trailer := response.Trailer.Get(outcome.HeaderOutcome); trailer != "" {
		call.Outcome = outcome.Outcome(trailer)
	}
}

// recordReason records the refusal reason from a problem document, if body is one.
func recordReason(call *history.Call, body []byte) {
	var problem outcome.Problem
	if json.Unmarshal(body, &problem) == nil {
		call.Reason = problem.Reason
	}
}

func (cl *caller) callService(call *history.Call, spec requestSpec, path string, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	body := fmt.Appendf(nil, `{"mark":%q}`, spec.label)
	sum := sha256.Sum256(body)
	want := service.Response{Method: http.MethodPost, Path: path, Key: spec.key, BodySHA256: hex.EncodeToString(sum[:])}
	call.Want = formatResponse(want)
	response, err := cl.send(ctx, call, spec, "/v1/services/"+serviceName+path, body)
	var data []byte
	if err == nil {
		defer response.Body.Close()
		data, err = io.ReadAll(response.Body)
	}
	cl.recordEnd(call, response, err)
	if response == nil || response.StatusCode != http.StatusOK {
		recordReason(call, data)
		return
	}
	var got service.Response
	if json.Unmarshal(data, &got) != nil {
		call.Got = string(data)
		return
	}
	call.LooksComplete = err == nil
	if spec.key != "" {
		call.RunID = fmt.Sprintf("run-%d", got.Run)
	}
	got.Run = 0
	call.Got = formatResponse(got)
}

func formatResponse(response service.Response) string {
	return fmt.Sprintf("%+v", response)
}

// streamChat sends a chat completion request and reads the event stream.
func (cl *caller) streamChat(call *history.Call, spec requestSpec, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	model := chatModel
	if spec.class == classOrder {
		model = orderModel
	}
	body, _ := json.Marshal(engine.Request{ // encoding a struct of strings and numbers cannot fail
		Model: model, Stream: true, Tokens: spec.tokens,
		Messages: []engine.Message{{Role: "user", Content: spec.label}},
	})
	// Entries refuse a request of a caller that contains a priority. The encoding
	// already omits a zero priority, so this replacement changes nothing.
	body = bytes.Replace(body, []byte(`"priority":0,`), nil, 1)
	call.Want = engine.ResponseText(spec.label, spec.tokens)
	response, err := cl.send(ctx, call, spec, "/v1/chat/completions", body)
	if err != nil {
		cl.recordEnd(call, nil, err)
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		data, err := io.ReadAll(response.Body)
		recordReason(call, data)
		cl.recordEnd(call, response, err)
		return
	}
	call.Got, call.LooksComplete, err = readStream(response.Body)
	cl.recordEnd(call, response, err)
}

// readStream returns the content of an event stream, and whether the stream
// contained the end marker.
func readStream(body io.Reader) (content string, complete bool, err error) {
	var text strings.Builder
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		data, found := strings.CutPrefix(scanner.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			complete = true
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta engine.Message `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) == 1 {
			text.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	return text.String(), complete, scanner.Err()
}
