package service_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sesameswitch/sesameswitch/standin/service"
)

func call(url, key string) ([]byte, error) {
	request, err := http.NewRequest(http.MethodPost, url+"/seats?x=1", strings.NewReader("body"))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Idempotency-Key", key)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	return io.ReadAll(response.Body)
}

func TestRunsAreCountedAndNotDeduplicated(t *testing.T) {
	stand := service.New(service.Settings{})
	server := httptest.NewServer(stand)
	defer server.Close()
	for run := range uint64(3) {
		data, err := call(server.URL, "k")
		if err != nil {
			t.Fatal(err)
		}
		var answer service.Response
		if err := json.Unmarshal(data, &answer); err != nil {
			t.Fatal(err)
		}
		if answer.Run != run+1 || answer.Key != "k" || answer.Path != "/seats?x=1" || len(answer.BodySHA256) != 64 {
			t.Fatalf("answer %+v", answer)
		}
	}
	if runs := stand.Runs(); runs["k"] != 3 {
		t.Fatalf("runs %v", runs)
	}
}

func TestFaultsAndWhetherTheCallRan(t *testing.T) {
	cases := []struct {
		name   string
		faults service.Faults
		runs   uint64
	}{
		{"close before", service.Faults{CloseBeforeRun: true}, 0},
		{"close after", service.Faults{CloseAfterRun: true}, 1},
		{"short length", service.Faults{TruncatedBody: true}, 1},
	}
	for _, c := range cases {
		stand := service.New(service.Settings{Slots: 1})
		server := httptest.NewServer(stand)
		stand.SetFaults(c.faults)
		if _, err := call(server.URL, "k"); err == nil {
			t.Errorf("%s: no error", c.name)
		}
		if runs := stand.Runs()["k"]; runs != c.runs {
			t.Errorf("%s: %d runs, want %d", c.name, runs, c.runs)
		}
		server.Close()
	}
}
