package engine_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	"github.com/sesameswitch/sesameswitch/provider"
	"github.com/sesameswitch/sesameswitch/standin/engine"
)

// start starts an engine whose durations are divided by 200 and returns it with its
// URL.
func start(t *testing.T) (*engine.Server, string) {
	t.Helper()
	settings := engine.DefaultSettings()
	settings.TimeScale = 200
	return startWith(t, settings)
}

func startWith(t *testing.T, settings engine.Settings) (*engine.Server, string) {
	t.Helper()
	standIn := engine.New(settings)
	server := httptest.NewServer(standIn)
	t.Cleanup(func() {
		server.Close()
		standIn.Close()
	})
	return standIn, server.URL
}

func post(t *testing.T, ctx context.Context, url, body string) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(engine.HeaderRunID, "run")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { response.Body.Close() })
	return response
}

func requestBody(stream bool, tokens, resumeAfter int) string {
	return fmt.Sprintf(`{"model":"m","stream":%t,"sesame_tokens":%d,"sesame_resume_after":%d,`+
		`"messages":[{"role":"user","content":"hello"}]}`, stream, tokens, resumeAfter)
}

// readStream reads a streamed response. It returns the text, whether the end marker
// was received, and the error that ended the stream.
func readStream(response *http.Response) (text string, complete bool, err error) {
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			complete = true
			continue
		}
		var chunk struct {
			Choices []struct{ Delta engine.Message }
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return text, complete, err
		}
		text += chunk.Choices[0].Delta.Content
	}
	return text, complete, scanner.Err()
}

func TestStreamedResumedAndCompleteResponsesHaveTheSameText(t *testing.T) {
	standIn, url := start(t)
	ctx := context.Background()
	want := engine.ResponseText("hello", 6)
	text, complete, err := readStream(post(t, ctx, url, requestBody(true, 6, 0)))
	if text != want || !complete || err != nil {
		t.Errorf("streamed response: got %q, end marker %v, error %v; want all tokens, the end marker, no error", text, complete, err)
	}
	text, complete, err = readStream(post(t, ctx, url, requestBody(true, 6, 2)))
	if engine.ResponseText("hello", 2)+text != want || !complete || err != nil {
		t.Errorf("resumed response: got %q, end marker %v, error %v; want the tokens after the first 2, the end marker, no error", text, complete, err)
	}
	var document struct {
		Choices []struct{ Message engine.Message }
	}
	response := post(t, ctx, url, requestBody(false, 6, 0))
	if err := json.NewDecoder(response.Body).Decode(&document); err != nil || document.Choices[0].Message.Content != want {
		t.Errorf("response without streaming: got %+v, error %v; want all tokens, no error", document, err)
	}
	counters := standIn.Counters()
	if counters.Runs["run"] != 3 || counters.Generated != 16 || counters.Wasted != 0 {
		t.Errorf("got counters %+v, want 3 runs, 16 generated tokens, 0 wasted", counters)
	}
}

func TestFaultsDamageStream(t *testing.T) {
	standIn, url := start(t)
	want := engine.ResponseText("hello", 4)
	cases := []struct {
		name     string
		faults   engine.Faults
		text     string
		complete bool
		wantErr  bool
	}{
		{"truncated", engine.Faults{TruncateAfter: 2}, engine.ResponseText("hello", 2), false, true},
		{"no end marker", engine.Faults{OmitDone: true}, want, false, false},
		{"duplicate", engine.Faults{DuplicateChunk: 1}, engine.Token("hello", 0) + want, true, false},
	}
	for _, c := range cases {
		standIn.SetFaults(c.faults)
		text, complete, err := readStream(post(t, context.Background(), url, requestBody(true, 4, 0)))
		if text != c.text || complete != c.complete || (err != nil) != c.wantErr {
			t.Errorf("%s: got %q, end marker %v, error %v; want %q, end marker %v, error: %v",
				c.name, text, complete, err, c.text, c.complete, c.wantErr)
		}
	}
}

func TestClosedConnectionCancelsRun(t *testing.T) {
	standIn, url := start(t)
	ctx, cancel := context.WithCancel(context.Background())
	response := post(t, ctx, url, requestBody(true, 1_000_000, 0))
	if _, err := bufio.NewReader(response.Body).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	cancel()
	for standIn.Counters().Cancelled == 0 {
		runtime.Gosched()
	}
	if counters := standIn.Counters(); counters.Wasted == 0 || counters.Wasted != counters.Generated {
		t.Errorf("got counters %+v, want more than 0 wasted tokens, as many as generated", counters)
	}
}

func TestLoadReportsFollowRunsAndFaults(t *testing.T) {
	settings := engine.DefaultSettings()
	settings.Slots = 1
	standIn, url := startWith(t, settings)
	standIn.SetFaults(engine.Faults{Hang: true})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for range 2 {
		go requestLongResponse(ctx, url)
	}
	for standIn.Counters().Requests < 2 {
		runtime.Gosched()
	}
	standIn.SetFaults(engine.Faults{})
	for loadReport(t, url).Running == 0 {
		runtime.Gosched()
	}
	standIn.SetFaults(engine.Faults{ReportIdle: true, Hang: true})
	if report := loadReport(t, url); report.Running != 0 || report.Waiting != 0 {
		t.Errorf("fault ReportIdle: got report %+v, want 0 running and 0 waiting", report)
	}
	standIn.SetFaults(engine.Faults{LoadLagMillis: 60_000, Hang: true})
	if report := loadReport(t, url); report.Running != 0 || report.AgeMillis != 60_000 {
		t.Errorf("fault LoadLagMillis: got report %+v, want 0 running and an age of 60000 ms", report)
	}
}

// requestLongResponse sends a request for a response that takes longer than the test
// and returns when the context ends.
func requestLongResponse(ctx context.Context, url string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", strings.NewReader(requestBody(false, 1_000_000, 0)))
	if err != nil {
		return
	}
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		response.Body.Close()
	}
}

func loadReport(t *testing.T, url string) provider.LoadReport {
	t.Helper()
	response, err := http.Get(url + "/load")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var report provider.LoadReport
	if err := json.NewDecoder(response.Body).Decode(&report); err != nil {
		t.Fatal(err)
	}
	return report
}
