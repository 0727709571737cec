package httpprovider_test

import (
	"bytes"
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/provider"
	"github.com/sesameswitch/sesameswitch/provider/httpprovider"
	"github.com/sesameswitch/sesameswitch/standin/config"
	"github.com/sesameswitch/sesameswitch/standin/engine"
	"github.com/sesameswitch/sesameswitch/standin/vmlist"
	"github.com/sesameswitch/sesameswitch/standin/weights"
)

func newConfig(t *testing.T) (*config.Server, *httpprovider.ConfigSource) {
	t.Helper()
	service := config.New()
	server := httptest.NewServer(service)
	t.Cleanup(server.Close)
	return service, httpprovider.NewConfigSource(server.URL, "manifest")
}

func TestConfigReadAndWatch(t *testing.T) {
	service, source := newConfig(t)
	ctx := context.Background()
	if _, err := source.Read(ctx); err == nil {
		t.Fatal("a key without a value was read")
	}
	service.Publish("manifest", []byte("one"))
	doc, err := source.Read(ctx)
	if err != nil || doc.Revision != 1 || string(doc.Body) != "one" {
		t.Fatalf("read %+v, %v", doc, err)
	}
	watched := make(chan provider.Document)
	go func() {
		next, changed, err := source.Watch(ctx, 1)
		if err != nil || !changed {
			next = provider.Document{}
		}
		watched <- next
	}()
	service.Publish("manifest", []byte("two"))
	if next := <-watched; next.Revision != 2 || string(next.Body) != "two" {
		t.Fatalf("watched %+v", next)
	}
	if calls := service.CallCounts(); calls.Reads != 2 || calls.Watches != 1 {
		t.Fatalf("calls %+v", calls)
	}
}

func TestConfigFaults(t *testing.T) {
	service, source := newConfig(t)
	body := bytes.Repeat([]byte("a: b\n"), 100)
	service.Publish("manifest", []byte("first"))
	service.Publish("manifest", body)
	cases := []struct {
		name   string
		faults config.Faults
		fails  bool
		length int
	}{
		{"none", config.Faults{}, false, len(body)},
		{"down", config.Faults{Down: true}, true, 0},
		{"drop", config.Faults{DropConnection: true}, true, 0},
		{"stale", config.Faults{StaleRevision: 1}, false, len("first")},
		{"half", config.Faults{HalfDocument: true}, false, len(body) / 2},
		{"truncated", config.Faults{Truncated: true}, true, 0},
		{"oversize", config.Faults{Oversize: true}, false, httpprovider.MaxDocumentBytes + 1},
	}
	for _, c := range cases {
		service.SetFaults(c.faults)
		doc, err := source.Read(context.Background())
		if (err != nil) != c.fails || len(doc.Body) != c.length {
			t.Errorf("%s: %d bytes, error %v", c.name, len(doc.Body), err)
		}
	}
	service.SetFaults(config.Faults{Hang: true})
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	if _, err := source.Read(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("hang: error %v", err)
	}
}

func TestVMListLags(t *testing.T) {
	manual := clock.NewManual(time.Unix(1_000, 0))
	stand := vmlist.New(manual)
	server := httptest.NewServer(stand)
	defer server.Close()
	list := httpprovider.NewVMList(server.URL)
	stand.SetFaults(vmlist.Faults{LagMillis: 1_000})
	stand.SetVMs([]provider.VM{{Name: "a", State: provider.VMLive}})
	manual.Advance(5 * time.Second)
	stand.SetVMs([]provider.VM{{Name: "a", State: provider.VMLeaving}})
	for _, want := range []provider.VMState{provider.VMLive, provider.VMLeaving} {
		vms, err := list.List(context.Background())
		if err != nil || len(vms) != 1 || vms[0].State != want {
			t.Fatalf("list %+v, %v, want %s", vms, err, want)
		}
		manual.Advance(time.Second)
	}
}

func TestEngineOrdersAndLoad(t *testing.T) {
	for _, check := range []bool{true, false} {
		settings := engine.DefaultSettings()
		settings.CheckFence = check
		settings.Models = []string{"m"}
		stand := engine.New(settings)
		server := httptest.NewServer(stand)
		client := httpprovider.NewEngine(server.URL)
		ctx := context.Background()
		if err := client.Order(ctx, provider.Order{Fence: 5, Kind: engine.CommandLoadModel, Model: "n"}); err != nil {
			t.Fatal(err)
		}
		err := client.Order(ctx, provider.Order{Fence: 4, Kind: engine.CommandUnloadModel, Model: "n"})
		var stale *httpprovider.StaleFenceError
		if errors.As(err, &stale) != check {
			t.Fatalf("check %v: error %v", check, err)
		}
		report, err := client.Load(ctx)
		if err != nil || report.Slots != settings.Slots || (len(report.Models) == 2) != check {
			t.Fatalf("load %+v, %v", report, err)
		}
		server.Close()
		stand.Close()
	}
}

func TestWeightStoreLimit(t *testing.T) {
	server := httptest.NewServer(weights.New(0.001, 1))
	defer server.Close()
	store := httpprovider.NewWeightStore(server.URL)
	if wait, err := store.Fetch(context.Background(), "m"); err != nil || wait != 0 {
		t.Fatalf("first: %v, %v", wait, err)
	}
	if wait, err := store.Fetch(context.Background(), "m"); err != nil || wait <= 0 {
		t.Fatalf("second: %v, %v", wait, err)
	}
}
