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

// startDaemon starts an entry behind a real listener and returns its address.
func startDaemon(t *testing.T, servers ...*scriptedServer) string {
	t.Helper()
	deployment := newTestDeployment(t, manifestText(""), servers...)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d, err := NewDaemon(deployment.entries[0], l)
	if err != nil {
		t.Fatal(err)
	}
	d.server.ReadHeaderTimeout = 20 * time.Millisecond
	runInBackground(t, d.Run)
	return l.Addr().String()
}

func TestSlowHeadersGetResponse408(t *testing.T) {
	address := startDaemon(t, &scriptedServer{})
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, "GET /v1/models HTTP/1.1\r\nHost: x\r\nX-Slow")
	got, err := io.ReadAll(c)
	if err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 408 ") || !strings.Contains(string(got), string(outcome.ReasonSlowRequest)) {
		t.Fatalf("error %v, got %q, want status 408 with reason slow_request", err, got)
	}
}

func TestIdleConnectionGetsNoResponse(t *testing.T) {
	address := startDaemon(t, &scriptedServer{})
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if got, err := io.ReadAll(c); err != nil || len(got) > 0 {
		t.Fatalf("error %v, got %q, want a closed connection without a response", err, got)
	}
}

func TestTooLargeHeadersGetProblemDocument(t *testing.T) {
	address := startDaemon(t, &scriptedServer{})
	request, _ := http.NewRequest(http.MethodGet, "http://"+address+"/v1/models", nil)
	request.Header.Set("X-Flood", strings.Repeat("x", maxRequestHeaderBytes+1))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusRequestHeaderFieldsTooLarge || response.Header.Get("Content-Type") != outcome.ProblemContentType {
		t.Fatalf("status %s, headers %v, want status 431 with a problem document", response.Status, response.Header)
	}
}

// chunkEvent is an event as OpenAI-compatible engines send it.
func chunkEvent(text string) string {
	return `data: {"id":"c","object":"chat.completion.chunk","model":"m","choices":[{"index":0,"delta":{"content":"` + text + `"}}]}` + "\n\n"
}

func TestOpenAIClientLibrary(t *testing.T) {
	s := &scriptedServer{respond: func(_ int, req provider.Request) (*provider.Response, error) {
		if strings.Contains(string(req.Body), `"stream":true`) {
			return bodyResponse(chunkEvent("a") + chunkEvent("b") + doneEvent), nil
		}
		return bodyResponse(`{"id":"c","object":"chat.completion","model":"m","choices":[{"index":0,"message":{"role":"assistant","content":"ab"}}]}`), nil
	}}
	config := openai.DefaultConfig(testKey)
	config.BaseURL = "http://" + startDaemon(t, s) + "/v1"
	client := openai.NewClientWithConfig(config)
	ctx := context.Background()
	request := openai.ChatCompletionRequest{Model: "m", Messages: []openai.ChatCompletionMessage{{Role: "user", Content: "x"}}}

	models, err := client.ListModels(ctx)
	if err != nil || len(models.Models) != 1 || models.Models[0].ID != "m" {
		t.Fatalf("models %+v, error %v, want the model m", models, err)
	}
	completion, err := client.CreateChatCompletion(ctx, request)
	if err != nil || completion.Choices[0].Message.Content != "ab" {
		t.Fatalf("completion %+v, error %v, want the content ab", completion, err)
	}
	if got := readStream(t, client, request); got != "ab" {
		t.Fatalf("stream %q, want ab", got)
	}
	request.Model = "unknown"
	var failure *openai.APIError
	if _, err := client.CreateChatCompletion(ctx, request); !errors.As(err, &failure) || failure.HTTPStatusCode != http.StatusNotFound {
		t.Fatalf("unknown model: error %v, want status 404", err)
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
		chunk, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return text.String()
		}
		if err != nil {
			t.Fatal(err)
		}
		text.WriteString(chunk.Choices[0].Delta.Content)
	}
}

// TestCallerDisconnectCancelsRun closes a caller's connection in the middle of
// a stream: the run at the backend server must be cancelled.
func TestCallerDisconnectCancelsRun(t *testing.T) {
	s := &scriptedServer{cancelled: make(chan struct{}), respond: func(int, provider.Request) (*provider.Response, error) {
		return bodyResponse(eventsText(0, 2)), nil
	}}
	ctx, disconnect := context.WithCancel(context.Background())
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, startDaemonWithRemoteAgent(t, s)+"/v1/chat/completions", strings.NewReader(streamBody))
	request.Header.Set("Authorization", "Bearer "+testKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if _, err := io.ReadFull(response.Body, make([]byte, len(eventsText(0, 2)))); err != nil {
		t.Fatal(err)
	}
	disconnect()
	<-s.cancelled
}

// TestSlowCallerDoesNotDelayOtherRequests leaves a long stream unread while
// other requests use the same connection between entry and agent.
func TestSlowCallerDoesNotDelayOtherRequests(t *testing.T) {
	longStream := strings.Repeat(chunkEvent(strings.Repeat("x", 1000)), 16<<10)
	s := &scriptedServer{respond: func(_ int, req provider.Request) (*provider.Response, error) {
		if strings.Contains(string(req.Body), "long") {
			return bodyResponse(longStream + doneEvent), nil
		}
		return bodyResponse(eventsText(0, 3) + doneEvent), nil
	}}
	url := startDaemonWithRemoteAgent(t, s)
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
		if err != nil || string(got) != eventsText(0, 3)+doneEvent {
			t.Fatalf("request during the stream of the slow caller: error %v, got %q, want 3 events", err, got)
		}
	}
	got, err := io.ReadAll(slow.Body)
	if err != nil || string(got) != longStream+doneEvent || slow.Trailer.Get(outcome.HeaderOutcome) != string(outcome.Completed) {
		t.Fatalf("slow caller: got %d bytes, want %d; error %v, trailer %v", len(got), len(longStream+doneEvent), err, slow.Trailer)
	}
}
