package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/sesameswitch/sesameswitch/agent"
	"github.com/sesameswitch/sesameswitch/peer"
	"github.com/sesameswitch/sesameswitch/provider"
)

// benchDaemon starts an entry and an agent that talk over a real connection.
func benchDaemon(b testing.TB, s *server) string {
	b.Helper()
	bench := newBench(b, manifestText(""), s)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	peers := peer.NewServer(peer.DefaultConfig())
	if err := peers.Register("Agent", agent.NewService(bench.agents[0])); err != nil {
		b.Fatal(err)
	}
	go peers.Serve(l)
	pool := peer.NewPool(peer.DefaultConfig())
	e := bench.list[0]
	e.deps.Peers = pool
	e.deps.Members.Apply([]provider.VM{{Name: "agent-1", Address: l.Addr().String(), Role: provider.RoleAgent, State: provider.VMLive}})
	e.agents.update(e.deps.Members.Agents())
	e.agents.deps.Peers = pool
	e.agents.beat(b.Context())
	if !e.Ready() {
		b.Fatal("the agent was not heard")
	}
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	d, err := NewDaemon(e, callers)
	if err != nil {
		b.Fatal(err)
	}
	run(b, d.Run)
	b.Cleanup(func() { l.Close(); pool.Close(); peers.Close() })
	return "http://" + callers.Addr().String()
}

func benchRequests(b *testing.B, url string, body string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	b.ReportAllocs()
	b.SetParallelism(1)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			request, _ := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
			request.Header.Set("Authorization", "Bearer "+testKey)
			response, err := client.Do(request)
			if err != nil {
				b.Error(err)
				return
			}
			answer, _ := io.ReadAll(response.Body)
			response.Body.Close()
			if response.StatusCode != http.StatusOK {
				b.Error(response.Status, string(answer))
			}
		}
	})
}

// BenchmarkPlainCall measures the way through entry and agent with a backend
// server that answers at once.
func BenchmarkPlainCall(b *testing.B) {
	s := &server{answer: func(int, provider.Request) (*provider.Response, error) { return body(`{"ok":true}`), nil }}
	benchRequests(b, benchDaemon(b, s), `{"model":"m","messages":[]}`)
}

// BenchmarkStream measures streams of 32 events.
func BenchmarkStream(b *testing.B) {
	text := events(0, 32) + fmt.Sprint(done)
	s := &server{answer: func(int, provider.Request) (*provider.Response, error) { return body(text), nil }}
	benchRequests(b, benchDaemon(b, s), streamBody)
}
