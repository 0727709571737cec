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

func start(t *testing.T) (*engine.Server, string) {
	t.Helper()
	settings := engine.DefaultSettings()
	settings.TimeScale = 200
	return startWith(t, settings)
}

func startWith(t *testing.T, settings engine.Settings) (*engine.Server, string) {
	t.Helper()
	stand := engine.New(settings)
	server := httptest.NewServer(stand)
	t.Cleanup(func() {
		server.Close()
		stand.Close()
	})
	return stand, server.URL
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

func body(stream bool, tokens, resume int) string {
	return fmt.Sprintf(`{"model":"m","stream":%t,"sesame_tokens":%d,"sesame_resume_after":%d,`+
		`"messages":[{"role":"user","content":"hello"}]}`, stream, tokens, resume)
}

// collect reads a stream: its text, whether it had its end marker, and the
// error that ended it.
func collect(response *http.Response) (text string, done bool, err error) {
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var chunk struct {
			Choices []struct{ Delta engine.Message }
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return text, done, err
		}
		text += chunk.Choices[0].Delta.Content
	}
	return text, done, scanner.Err()
}

func TestAnswersAreTheSameStreamedWholeAndResumed(t *testing.T) {
	stand, url := start(t)
	ctx := context.Background()
	want := engine.ResponseText("hello", 6)
	text, done, err := collect(post(t, ctx, url, body(true, 6, 0)))
	if text != want || !done || err != nil {
		t.Errorf("stream %q, done %v, %v", text, done, err)
	}
	text, done, err = collect(post(t, ctx, url, body(true, 6, 2)))
	if engine.ResponseText("hello", 2)+text != want || !done || err != nil {
		t.Errorf("resumed %q, done %v, %v", text, done, err)
	}
	var whole struct {
		Choices []struct{ Message engine.Message }
	}
	response := post(t, ctx, url, body(false, 6, 0))
	if err := json.NewDecoder(response.Body).Decode(&whole); err != nil || whole.Choices[0].Message.Content != want {
		t.Errorf("whole %+v, %v", whole, err)
	}
	counters := stand.Counters()
	if counters.Runs["run"] != 3 || counters.Generated != 16 || counters.Wasted != 0 {
		t.Errorf("counters %+v", counters)
	}
}

func TestStreamFaults(t *testing.T) {
	stand, url := start(t)
	want := engine.ResponseText("hello", 4)
	cases := []struct {
		name   string
		faults engine.Faults
		text   string
		done   bool
		broken bool
	}{
		{"truncated", engine.Faults{TruncateAfter: 2}, engine.ResponseText("hello", 2), false, true},
		{"no end marker", engine.Faults{OmitDone: true}, want, false, false},
		{"duplicate", engine.Faults{DuplicateChunk: 1}, engine.Token("hello", 0) + want, true, false},
	}
	for _, c := range cases {
		stand.SetFaults(c.faults)
		text, done, err := collect(post(t, context.Background(), url, body(true, 4, 0)))
		if text != c.text || done != c.done || (err != nil) != c.broken {
			t.Errorf("%s: %q, done %v, error %v", c.name, text, done, err)
		}
	}
}

func TestClosedConnectionCancels(t *testing.T) {
	stand, url := start(t)
	ctx, cancel := context.WithCancel(context.Background())
	response := post(t, ctx, url, body(true, 1_000_000, 0))
	if _, err := bufio.NewReader(response.Body).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	cancel()
	for stand.Counters().Cancelled == 0 {
		runtime.Gosched()
	}
	if counters := stand.Counters(); counters.Wasted == 0 || counters.Wasted != counters.Generated {
		t.Errorf("counters %+v", counters)
	}
}

func TestLoadReports(t *testing.T) {
	settings := engine.DefaultSettings()
	settings.Slots = 1
	stand, url := startWith(t, settings)
	stand.SetFaults(engine.Faults{Hang: true})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for range 2 {
		go hold(ctx, url)
	}
	for stand.Counters().Requests < 2 {
		runtime.Gosched()
	}
	stand.SetFaults(engine.Faults{})
	for load(t, url).Running == 0 {
		runtime.Gosched()
	}
	stand.SetFaults(engine.Faults{ReportIdle: true, Hang: true})
	if report := load(t, url); report.Running != 0 || report.Waiting != 0 {
		t.Errorf("lying report %+v", report)
	}
	stand.SetFaults(engine.Faults{LoadLagMillis: 60_000, Hang: true})
	if report := load(t, url); report.Running != 0 || report.AgeMillis != 60_000 {
		t.Errorf("old report %+v", report)
	}
}

// hold asks for a long answer and waits until the context ends.
func hold(ctx context.Context, url string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body(false, 1_000_000, 0)))
	if err != nil {
		return
	}
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		response.Body.Close()
	}
}

func load(t *testing.T, url string) provider.LoadReport {
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
