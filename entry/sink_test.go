package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/membudget"
	"github.com/sesameswitch/sesameswitch/outcome"
)

// sinkServer serves responses of a given size, set by the path, through a bufferSink with memory. It
// returns the address, the budget and what ending each response returned.
func sinkServer(t *testing.T, limit int64, c clock.Clock) (address string, budget *membudget.Budget, ended chan error) {
	t.Helper()
	ended = make(chan error, 10)
	budget = membudget.New(limit, c)
	e := &Entry{memory: budget}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{ConnContext: connContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer markHandlerRunning(r)()
		size, err := strconv.Atoi(r.URL.Path[1:])
		if err != nil {
			t.Error(err)
		}
		claim := e.newClaim(r)
		defer claim.Release()
		if !claim.Complete() {
			t.Error("a request without a body gave way")
		}
		sink := newBufferSink(w, r, &request{id: "1", memory: claim})
		sink.head(http.StatusOK, nil)
		for written := 0; written < size; written += 64 << 10 {
			if err := sink.write(make([]byte, min(64<<10, size-written))); err != nil {
				_ = sink.end(outcome.Refuse(outcome.ReasonMemory, err.Error())) // always nil
				ended <- err
				return
			}
		}
		ended <- sink.end(nil)
	})}
	go func() { _ = server.Serve(callerListener{Listener: listener, onSlowHeaders: func() {}}) }() // ends with Close
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String(), budget, ended
}

// get requests a response of the given size and returns its length.
func get(t *testing.T, address string, size int) (status, length int) {
	t.Helper()
	resp, err := http.Get("http://" + address + "/" + strconv.Itoa(size)) //nolint:noctx // ends with the server
	if err != nil {
		t.Error(err)
		return 0, 0
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil {
		t.Error(err)
	}
	return resp.StatusCode, int(n)
}

// TestUnreadBufferedResponseGivesWay checks that a response which its caller does not read gives way
// to another one, that a single one may exceed the memory, and that all give back what they held.
func TestUnreadBufferedResponseGivesWay(t *testing.T) {
	const size = 15 << 20 // more than the buffers of a connection hold
	manual := clock.NewManual(time.Unix(1000, 0))
	address, budget, ended := sinkServer(t, 8<<20, manual)
	if status, length := get(t, address, size); status != http.StatusOK || length != size {
		t.Fatalf("in calm: status %d, %d bytes", status, length)
	}
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	silent, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	if _, err := io.WriteString(silent, "GET /"+strconv.Itoa(size)+" HTTP/1.1\r\nHost: entry\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	for budget.Usage().Used < size {
		if ctx.Err() != nil {
			t.Fatal("the response was not buffered")
		}
		time.Sleep(time.Millisecond)
	}
	if status, length := get(t, address, size); status != http.StatusServiceUnavailable {
		t.Errorf("before StallTime: status %d, %d bytes, want a refusal", status, length)
	}
	if err := <-ended; !errors.Is(err, errNoResponseMemory) {
		t.Errorf("before StallTime: got %v", err)
	}
	manual.Advance(membudget.StallTime)
	if status, length := get(t, address, size); status != http.StatusOK || length != size {
		t.Errorf("after StallTime: status %d, %d bytes", status, length)
	}
	for range 2 {
		if err := <-ended; err != nil && !errors.Is(err, errUnreadResponse) {
			t.Error(err)
		}
	}
	if content, err := io.ReadAll(silent); err == nil && len(content) >= size {
		t.Error("the response that gave way arrived completely")
	}
	for budget.Usage().Used != 0 {
		if ctx.Err() != nil {
			t.Fatalf("%d bytes are held in the end", budget.Usage().Used)
		}
		time.Sleep(time.Millisecond)
	}
}

// TestConnectionServesAfterLongResponse checks that the time limit of writes ends with a response.
func TestConnectionServesAfterLongResponse(t *testing.T) {
	address, _, ended := sinkServer(t, 64<<20, clock.New())
	for _, size := range []int{1 << 20, 0, 100} {
		resp, err := http.Get("http://" + address + "/" + strconv.Itoa(size)) //nolint:noctx // ends with the server
		if err != nil {
			t.Fatal(err)
		}
		n, err := io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if err != nil || n != int64(size) {
			t.Errorf("%d bytes of %d: %v", n, size, err)
		}
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}
