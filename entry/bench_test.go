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

// startDaemonWithRemoteAgent starts an entry and an agent that communicate over
// a real connection, and returns the URL of the entry.
func startDaemonWithRemoteAgent(b testing.TB, s *scriptedServer) string {
	b.Helper()
	deployment := newTestDeployment(b, manifestText(""), s)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	peerServer := peer.NewServer(peer.DefaultConfig())
	if err := peerServer.Register("Agent", agent.NewRPCService(deployment.agents[0])); err != nil {
		b.Fatal(err)
	}
	go peerServer.Serve(l)
	pool := peer.NewPool(peer.DefaultConfig())
	e := deployment.entries[0]
	e.deps.Peers = pool
	e.deps.Members.Apply([]provider.VM{{Name: "agent-1", Address: l.Addr().String(), Role: provider.RoleAgent, State: provider.VMLive}})
	e.agents.applyMembership(e.deps.Members.Agents())
	e.agents.deps.Peers = pool
	e.agents.sendHeartbeats(b.Context())
	if !e.Ready() {
		b.Fatal("the entry is not ready after a heartbeat to the agent")
	}
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	d, err := NewDaemon(e, callers)
	if err != nil {
		b.Fatal(err)
	}
	runInBackground(b, d.Run)
	b.Cleanup(func() { l.Close(); pool.Close(); peerServer.Close() })
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
			responseBody, _ := io.ReadAll(response.Body)
			response.Body.Close()
			if response.StatusCode != http.StatusOK {
				b.Error(response.Status, string(responseBody))
			}
		}
	})
}

// BenchmarkBufferedResponse measures the overhead of entry and agent for a
// response that is not a stream; the backend server responds immediately.
func BenchmarkBufferedResponse(b *testing.B) {
	s := &scriptedServer{respond: func(int, provider.Request) (*provider.Response, error) { return bodyResponse(`{"ok":true}`), nil }}
	benchRequests(b, startDaemonWithRemoteAgent(b, s), `{"model":"m","messages":[]}`)
}

// BenchmarkStream measures streams of 32 events.
func BenchmarkStream(b *testing.B) {
	text := eventsText(0, 32) + fmt.Sprint(doneEvent)
	s := &scriptedServer{respond: func(int, provider.Request) (*provider.Response, error) { return bodyResponse(text), nil }}
	benchRequests(b, startDaemonWithRemoteAgent(b, s), streamBody)
}
