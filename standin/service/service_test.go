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

// post sends a request with the idempotency key and returns the body of the
// response.
func post(url, key string) ([]byte, error) {
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

func TestRequestsWithTheSameKeyAllRunAndAreCounted(t *testing.T) {
	standIn := service.New(service.Settings{})
	server := httptest.NewServer(standIn)
	defer server.Close()
	for run := range uint64(3) {
		data, err := post(server.URL, "k")
		if err != nil {
			t.Fatal(err)
		}
		var response service.Response
		if err := json.Unmarshal(data, &response); err != nil {
			t.Fatal(err)
		}
		if response.Run != run+1 || response.Key != "k" || response.Path != "/seats?x=1" || len(response.BodySHA256) != 64 {
			t.Fatalf("got response %+v, want run %d, key k, path /seats?x=1 and a hash of 64 digits", response, run+1)
		}
	}
	if runs := standIn.Runs(); runs["k"] != 3 {
		t.Fatalf("got runs %v, want 3 of key k", runs)
	}
}

func TestFaultsBreakResponseBeforeOrAfterRun(t *testing.T) {
	cases := []struct {
		name   string
		faults service.Faults
		runs   uint64
	}{
		{"close before run", service.Faults{CloseBeforeRun: true}, 0},
		{"close after run", service.Faults{CloseAfterRun: true}, 1},
		{"truncated body", service.Faults{TruncatedBody: true}, 1},
	}
	for _, c := range cases {
		standIn := service.New(service.Settings{Slots: 1})
		server := httptest.NewServer(standIn)
		standIn.SetFaults(c.faults)
		if _, err := post(server.URL, "k"); err == nil {
			t.Errorf("%s: got a complete response, want an error", c.name)
		}
		if runs := standIn.Runs()["k"]; runs != c.runs {
			t.Errorf("%s: got %d runs, want %d", c.name, runs, c.runs)
		}
		server.Close()
	}
}
