package httpprovider_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
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

func newConfigService(t *testing.T) (*config.Server, *httpprovider.ConfigSource) {
	t.Helper()
	service := config.New()
	server := httptest.NewServer(service)
	t.Cleanup(server.Close)
	return service, httpprovider.NewConfigSource(server.URL, "manifest")
}

func TestConfigSourceReadsAndWatches(t *testing.T) {
	service, source := newConfigService(t)
	ctx := context.Background()
	if _, err := source.Read(ctx); err == nil {
		t.Fatal("read of a key without a value succeeded")
	}
	service.Publish("manifest", []byte("one"))
	doc, err := source.Read(ctx)
	if err != nil || doc.Revision != 1 || string(doc.Body) != "one" {
		t.Fatalf("got document %+v, error %v, want revision 1 of the value", doc, err)
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
		t.Fatalf("watch returned %+v, want revision 2 of the value", next)
	}
	if calls := service.CallCounts(); calls.Reads != 2 || calls.Watches != 1 {
		t.Fatalf("got calls %+v, want 2 reads and 1 watch", calls)
	}
}

func TestConfigSourceReadUnderFaults(t *testing.T) {
	service, source := newConfigService(t)
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
		{"truncated", config.Faults{TruncatedBody: true}, true, 0},
		{"oversize", config.Faults{Oversize: true}, false, httpprovider.MaxDocumentBytes + 1},
	}
	for _, c := range cases {
		service.SetFaults(c.faults)
		doc, err := source.Read(context.Background())
		if (err != nil) != c.fails || len(doc.Body) != c.length {
			t.Errorf("%s: got %d bytes, error %v", c.name, len(doc.Body), err)
		}
	}
	service.SetFaults(config.Faults{Hang: true})
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	if _, err := source.Read(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("hang: got error %v, want deadline exceeded", err)
	}
}

func TestVMListerReturnsDelayedList(t *testing.T) {
	manual := clock.NewManual(time.Unix(1_000, 0))
	standIn := vmlist.New(manual)
	server := httptest.NewServer(standIn)
	defer server.Close()
	lister := httpprovider.NewVMLister(server.URL)
	standIn.SetFaults(vmlist.Faults{LagMillis: 1_000})
	standIn.SetVMs([]provider.VM{{Name: "a", State: provider.VMLive}})
	manual.Advance(5 * time.Second)
	standIn.SetVMs([]provider.VM{{Name: "a", State: provider.VMLeaving}})
	for _, want := range []provider.VMState{provider.VMLive, provider.VMLeaving} {
		vms, err := lister.List(context.Background())
		if err != nil || len(vms) != 1 || vms[0].State != want {
			t.Fatalf("got VMs %+v, error %v, want state %s", vms, err, want)
		}
		manual.Advance(time.Second)
	}
}

// TestOddVMEndsList guards against an entry of another writer that keeps processes from following
// the list of VMs.
func TestOddVMEndsList(t *testing.T) {
	for name, odd := range map[string]string{
		"nested": strings.Repeat("[", 9_000) + strings.Repeat("]", 9_000), "text": `"vm"`, "null": "null", "name of another type": `{"name":5}`,
		"number too large": `{"name":"b","address":1e400}`, "address of another type": `{"name":"b","address":["127.0.0.1"]}`,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `[{"name":"a","state":"live"},`+odd+`,{"name":"c","state":"leaving"}]`) // the list is short then
		}))
		invalid := 0
		lister := httpprovider.NewVMLister(server.URL)
		lister.OnInvalid = func(error) { invalid++ }
		vms, err := lister.List(context.Background())
		server.Close()
		vms = slices.DeleteFunc(vms, func(vm provider.VM) bool { return vm.Name == "" })
		if err != nil || len(vms) != 2 || vms[0].Name != "a" || vms[1].Name != "c" || invalid == 0 && name != "null" {
			t.Errorf("%s: got VMs %+v, error %v, %d invalid entries", name, vms, err, invalid)
		}
	}
}

func TestEngineExecutesCommandsAndReportsLoad(t *testing.T) {
	for _, checkFence := range []bool{true, false} {
		settings := engine.DefaultSettings()
		settings.CheckFence = checkFence
		settings.Models = []string{"m"}
		standIn := engine.New(settings)
		server := httptest.NewServer(standIn)
		client := httpprovider.NewEngine(server.URL)
		ctx := context.Background()
		if err := client.SendCommand(ctx, provider.EngineCommand{Fence: 5, Kind: engine.CommandLoadModel, Model: "n"}); err != nil {
			t.Fatal(err)
		}
		err := client.SendCommand(ctx, provider.EngineCommand{Fence: 4, Kind: engine.CommandUnloadModel, Model: "n"})
		var stale *httpprovider.StaleFenceError
		if errors.As(err, &stale) != checkFence {
			t.Fatalf("CheckFence %v: got error %v, want StaleFenceError only with CheckFence", checkFence, err)
		}
		report, err := client.Load(ctx)
		if err != nil || report.Slots != settings.Slots || (len(report.Models) == 2) != checkFence {
			t.Fatalf("got load report %+v, error %v", report, err)
		}
		server.Close()
		standIn.Close()
	}
}

func TestWeightStoreReturnsWaitAtItsLimit(t *testing.T) {
	server := httptest.NewServer(weights.New(0.001, 1))
	defer server.Close()
	store := httpprovider.NewWeightStore(server.URL)
	if wait, err := store.Fetch(context.Background(), "m"); err != nil || wait != 0 {
		t.Fatalf("first download: got wait %v, error %v, want no wait", wait, err)
	}
	if wait, err := store.Fetch(context.Background(), "m"); err != nil || wait <= 0 {
		t.Fatalf("second download: got wait %v, error %v, want a wait", wait, err)
	}
}
