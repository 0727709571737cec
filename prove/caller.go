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
	// callPatience is how long a caller waits for a whole answer.
	callPatience = 6 * time.Second
	// hastyPatience is how long a caller waits that repeats its key while the
	// first attempt may still run.
	hastyPatience = 60 * time.Millisecond
	// copyDelay is how long after a refusal a copy of the request arrives.
	copyDelay = 700 * time.Millisecond
	maxPause  = 120 * time.Millisecond
	maxTokens = 300
	// maxLongTokens bounds the answers of one in longEvery streams.
	maxLongTokens = 1500
	longEvery     = 8
)

// payment is a request with a key, which may be sent several times.
type payment struct {
	class   string
	key     string
	mark    string
	account string
	tokens  int
}

// caller sends requests through all entries and records what it saw.
type caller struct {
	c       *cluster
	client  *http.Client
	entries []*member
	name    string
	sent    int

	mu  sync.Mutex
	rng *rand.Rand
	// used are the requests with a key that were sent.
	used []payment
}

func newCaller(c *cluster, seed uint64, number int) *caller {
	return &caller{
		c:       c,
		entries: c.entries,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
		name:    fmt.Sprintf("caller-%d", number),
		rng:     rand.New(rand.NewPCG(seed, uint64(number)+1)),
	}
}

func (k *caller) draw(n int) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.rng.IntN(n)
}

func (k *caller) drawTokens() int {
	if k.draw(longEvery) == 0 {
		return 1 + k.draw(maxLongTokens)
	}
	return 1 + k.draw(maxTokens)
}

func (k *caller) anyEntry() *member { return k.entries[k.draw(len(k.entries))] }

// run sends requests until the deadline.
func (k *caller) run(until time.Duration) {
	for k.c.now() < until {
		switch choice := k.draw(10); {
		case choice < 4:
			k.pay(classPayment)
		case choice < 5:
			k.pay(classOrder)
		case choice < 8:
			k.chat()
		default:
			k.lookup(k.mark())
		}
		time.Sleep(time.Duration(k.draw(int(maxPause))))
	}
}

func (k *caller) mark() string {
	k.sent++
	return fmt.Sprintf("%s-%d", k.name, k.sent)
}

// pay mints a key and uses it in one of the ways that callers do.
func (k *caller) pay(class string) {
	p := payment{class: class, mark: k.mark(), account: accountKey, tokens: k.drawTokens()}
	var err error
	if p.key, err = k.mint(class); err != nil {
		return
	}
	k.used = append(k.used, p)
	switch k.draw(4) {
	case 0:
		k.payAgainOnDoubt(p)
	case 1:
		var group sync.WaitGroup
		for range 2 {
			group.Go(func() { k.use(p, callPatience) })
		}
		group.Wait()
	case 2:
		k.use(p, hastyPatience)
		k.use(p, callPatience)
	case 3:
		k.use(p, callPatience)
		k.use(payment{class: class, key: p.key, mark: p.mark + "-other", account: accountKey, tokens: p.tokens}, callPatience)
		k.use(payment{class: class, key: p.key, mark: p.mark, account: otherKey, tokens: p.tokens}, callPatience)
	}
}

// payAgainOnDoubt repeats until the outcome is known. A refusal as not_run is
// tried once more, as a delayed copy of the request would.
func (k *caller) payAgainOnDoubt(p payment) {
	for range 3 {
		call := k.use(p, callPatience)
		if !call.Returned || call.Outcome == outcome.Unknown {
			continue
		}
		if call.Outcome == outcome.NotRun {
			time.Sleep(copyDelay)
			k.use(p, callPatience)
		}
		return
	}
}

// mint gets a key for a class.
func (k *caller) mint(class string) (string, error) {
	want := map[string]string{"class": class, "service": serviceName}
	if class == classOrder {
		want = map[string]string{"class": class, "model": orderModel}
	}
	body, err := json.Marshal(want)
	if err != nil {
		return "", eris.Wrap(err, "mint")
	}
	ctx, cancel := context.WithTimeout(context.Background(), callPatience)
	defer cancel()
	response, err := k.post(ctx, k.anyEntry(), "/v1/keys", accountKey, "", class, body)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusCreated {
		return "", eris.Errorf("mint: %s", response.Status)
	}
	var reply struct {
		Key string `json:"key"`
	}
	err = json.NewDecoder(response.Body).Decode(&reply)
	return reply.Key, eris.Wrap(err, "mint")
}

func (k *caller) post(ctx context.Context, e *member, path, account, key, class string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.callers+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, path)
	}
	request.Header.Set("Authorization", "Bearer "+account)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Sesame-Class", class)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := k.client.Do(request)
	return response, eris.Wrap(err, path)
}

// use sends a request with a key through some entry and records the call.
func (k *caller) use(p payment, patience time.Duration) history.Call {
	request := p.mark
	if p.account != accountKey {
		request = otherAccount + "/" + p.mark
	}
	call := history.Call{Key: p.key, Request: request, Hasty: patience == hastyPatience}
	if p.class == classOrder {
		k.stream(&call, p, patience)
	} else {
		k.callService(&call, p, "/payments/"+p.mark, patience)
	}
	k.c.recorder.Call(call)
	return call
}

// chat streams an answer that may be repeated.
func (k *caller) chat() {
	call := history.Call{}
	k.stream(&call, payment{class: classChat, mark: k.mark(), account: accountKey, tokens: k.drawTokens()}, callPatience)
	k.c.recorder.Call(call)
}

// lookup calls the service for something that may be repeated.
func (k *caller) lookup(mark string) {
	call := history.Call{}
	p := payment{class: classLookup, mark: mark, account: accountKey}
	k.callService(&call, p, "/seats/"+p.mark, callPatience)
	k.c.recorder.Call(call)
}

// send sends a call through some entry and notes its beginning.
func (k *caller) send(ctx context.Context, call *history.Call, p payment, path string, body []byte) (*http.Response, error) {
	e := k.anyEntry()
	call.Entry = e.Name
	call.Invoked = k.c.now()
	return k.post(ctx, e, path, p.account, p.key, p.class, body)
}

// finish notes the end of a call.
func (k *caller) finish(call *history.Call, response *http.Response, err error) {
	call.Completed = k.c.now()
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

// noteProblem reads the reason from a problem document.
func noteProblem(call *history.Call, body []byte) {
	var problem outcome.Problem
	if json.Unmarshal(body, &problem) == nil {
		call.Reason = problem.Reason
	}
}

func (k *caller) callService(call *history.Call, p payment, path string, patience time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	body := fmt.Appendf(nil, `{"mark":%q}`, p.mark)
	sum := sha256.Sum256(body)
	want := service.Response{Method: http.MethodPost, Path: path, Key: p.key, BodySHA256: hex.EncodeToString(sum[:])}
	call.Want = textOf(want)
	response, err := k.send(ctx, call, p, "/v1/services/"+serviceName+path, body)
	var data []byte
	if err == nil {
		defer response.Body.Close()
		data, err = io.ReadAll(response.Body)
	}
	k.finish(call, response, err)
	if response == nil || response.StatusCode != http.StatusOK {
		noteProblem(call, data)
		return
	}
	var got service.Response
	if json.Unmarshal(data, &got) != nil {
		call.Got = string(data)
		return
	}
	call.LooksWhole = err == nil
	if p.key != "" {
		call.Run = fmt.Sprintf("run-%d", got.Run)
	}
	got.Run = 0
	call.Got = textOf(got)
}

func textOf(a service.Response) string {
	return fmt.Sprintf("%+v", a)
}

// stream sends a chat completion and reads its events.
func (k *caller) stream(call *history.Call, p payment, patience time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	model := chatModel
	if p.class == classOrder {
		model = orderModel
	}
	body, _ := json.Marshal(engine.Request{ // a struct of strings and numbers can be encoded
		Model: model, Stream: true, Tokens: p.tokens,
		Messages: []engine.Message{{Role: "user", Content: p.mark}},
	})
	// The system sets the priority; callers must not.
	body = bytes.Replace(body, []byte(`"priority":0,`), nil, 1)
	call.Want = engine.ResponseText(p.mark, p.tokens)
	response, err := k.send(ctx, call, p, "/v1/chat/completions", body)
	if err != nil {
		k.finish(call, nil, err)
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		data, err := io.ReadAll(response.Body)
		noteProblem(call, data)
		k.finish(call, response, err)
		return
	}
	call.Got, call.LooksWhole, err = readEvents(response.Body)
	k.finish(call, response, err)
}

// readEvents returns the content of an event stream, and whether it ended
// with its end marker.
func readEvents(body io.Reader) (content string, whole bool, err error) {
	var text strings.Builder
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		data, found := strings.CutPrefix(scanner.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			whole = true
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
	return text.String(), whole, scanner.Err()
}
