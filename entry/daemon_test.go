package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sashabaranov/go-openai"

	"github.com/sesameswitch/sesameswitch/outcome"
	"github.com/sesameswitch/sesameswitch/provider"
)

// serve puts an entry behind a real listener.
func serve(t *testing.T, servers ...*server) string {
	t.Helper()
	b := newBench(t, manifestText(""), servers...)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d, err := NewDaemon(b.list[0], l)
	if err != nil {
		t.Fatal(err)
	}
	d.server.ReadHeaderTimeout = 20 * time.Millisecond
	run(t, d.Run)
	return l.Addr().String()
}

func TestSlowHeadersGetAnAnswer(t *testing.T) {
	address := serve(t, &server{})
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, "GET /v1/models HTTP/1.1\r\nHost: x\r\nX-Slow")
	got, err := io.ReadAll(c)
	if err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 408 ") || !strings.Contains(string(got), string(outcome.ReasonSlowRequest)) {
		t.Fatalf("%v, got %q", err, got)
	}
}

func TestIdleConnectionGetsNoAnswer(t *testing.T) {
	address := serve(t, &server{})
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if got, err := io.ReadAll(c); err != nil || len(got) > 0 {
		t.Fatalf("%v, got %q", err, got)
	}
}

func TestHeadersTooLarge(t *testing.T) {
	address := serve(t, &server{})
	request, _ := http.NewRequest(http.MethodGet, "http://"+address+"/v1/models", nil)
	request.Header.Set("X-Flood", strings.Repeat("x", maxHeaders+1))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusRequestHeaderFieldsTooLarge || response.Header.Get("Content-Type") != outcome.ProblemContentType {
		t.Fatalf("status %s, %v", response.Status, response.Header)
	}
}

// chunk is an event as OpenAI-compatible engines send it.
func chunk(text string) string {
	return `data: {"id":"c","object":"chat.completion.chunk","model":"m","choices":[{"index":0,"delta":{"content":"` + text + `"}}]}` + "\n\n"
}

func TestOrdinaryClientLibrary(t *testing.T) {
	s := &server{answer: func(_ int, call provider.Request) (*provider.Response, error) {
		if strings.Contains(string(call.Body), `"stream":true`) {
			return body(chunk("a") + chunk("b") + done), nil
		}
		return body(`{"id":"c","object":"chat.completion","model":"m","choices":[{"index":0,"message":{"role":"assistant","content":"ab"}}]}`), nil
	}}
	config := openai.DefaultConfig(testKey)
	config.BaseURL = "http://" + serve(t, s) + "/v1"
	client := openai.NewClientWithConfig(config)
	ctx := context.Background()
	request := openai.ChatCompletionRequest{Model: "m", Messages: []openai.ChatCompletionMessage{{Role: "user", Content: "x"}}}

	models, err := client.ListModels(ctx)
	if err != nil || len(models.Models) != 1 || models.Models[0].ID != "m" {
		t.Fatalf("models %+v, %v", models, err)
	}
	whole, err := client.CreateChatCompletion(ctx, request)
	if err != nil || whole.Choices[0].Message.Content != "ab" {
		t.Fatalf("completion %+v, %v", whole, err)
	}
	if got := readStream(t, client, request); got != "ab" {
		t.Fatalf("stream %q", got)
	}
	request.Model = "unknown"
	var failure *openai.APIError
	if _, err := client.CreateChatCompletion(ctx, request); !errors.As(err, &failure) || failure.HTTPStatusCode != http.StatusNotFound {
		t.Fatalf("unknown model: %v", err)
	}
}

func readStream(t *testing.T, client *openai.Client, request openai.ChatCompletionRequest) string {
	t.Helper()
	stream, err := client.CreateChatCompletionStream(context.Background(), request)
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	var text strings.Builder
	for {
		part, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return text.String()
		}
		if err != nil {
			t.Fatal(err)
		}
		text.WriteString(part.Choices[0].Delta.Content)
	}
}

// TestCallerHangsUp closes a caller's connection in the middle of a stream:
// the run at the backend server is cancelled.
func TestCallerHangsUp(t *testing.T) {
	s := &server{cancelled: make(chan struct{}), answer: func(int, provider.Request) (*provider.Response, error) {
		return body(events(0, 2)), nil
	}}
	ctx, hangUp := context.WithCancel(context.Background())
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, benchDaemon(t, s)+"/v1/chat/completions", strings.NewReader(streamBody))
	request.Header.Set("Authorization", "Bearer "+testKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if _, err := io.ReadFull(response.Body, make([]byte, len(events(0, 2)))); err != nil {
		t.Fatal(err)
	}
	hangUp()
	<-s.cancelled
}

// TestSlowCallerHoldsUpNobody leaves a long stream unread while other requests
// go over the same connection between entry and agent.
func TestSlowCallerHoldsUpNobody(t *testing.T) {
	long := strings.Repeat(chunk(strings.Repeat("x", 1000)), 16<<10)
	s := &server{answer: func(_ int, call provider.Request) (*provider.Response, error) {
		if strings.Contains(string(call.Body), "long") {
			return body(long + done), nil
		}
		return body(events(0, 3) + done), nil
	}}
	url := benchDaemon(t, s)
	send := func(body string) *http.Response {
		request, _ := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
		request.Header.Set("Authorization", "Bearer "+testKey)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		return response
	}
	slow := send(`{"model":"m","stream":true,"messages":["long"]}`)
	defer slow.Body.Close()
	for range 20 {
		response := send(streamBody)
		got, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil || string(got) != events(0, 3)+done {
			t.Fatalf("%v, got %q", err, got)
		}
	}
	got, err := io.ReadAll(slow.Body)
	if err != nil || string(got) != long+done || slow.Trailer.Get(outcome.HeaderOutcome) != string(outcome.Completed) {
		t.Fatalf("the slow caller got %d bytes of %d, %v, %v", len(got), len(long+done), err, slow.Trailer)
	}
}
