package gateway

import (
	"testing"
	"time"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/directory"
	"github.com/sesameswitch/sesameswitch/telemetry"
)

// TestRequestThatWaitedIsSentInPause guards against requests that waited for a connection
// and are written although the server has asked for a pause meanwhile, or is leaving.
func TestRequestThatWaitedIsSentInPause(t *testing.T) {
	server := &directory.BackendServer{ID: "i-1", Service: "app", Address: "10.0.0.9:80"}
	for _, test := range []struct {
		name      string
		meanwhile func(s *Server, d *directory.Directory)
		want      bool
	}{
		{"nothing", func(*Server, *directory.Directory) {}, true},
		{"pause", func(s *Server, _ *directory.Directory) { s.recordPause(server, 3*time.Second) }, false},
		{"leaving", func(_ *Server, d *directory.Directory) { d.MarkLeaving(epoch, server) }, false},
		{"removed", func(_ *Server, d *directory.Directory) {
			d.Apply(epoch, []directory.Change{{ID: "i-1", Revision: 2, Removed: true}}, 2)
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := directory.New()
			d.Apply(epoch, []directory.Change{{ID: "i-1", Revision: 1, Server: server}}, 1)
			s := NewServer(Dependencies{Directory: d, Clock: clock.NewManual(epoch), Elapsed: func() time.Duration { return 0 }, Metrics: telemetry.New(), Log: discardLog()})
			test.meanwhile(s, d)
			if got := s.admitSend(&request{}, &activeAttempt{chosenServer: chosenServer{server: server}}); got != test.want {
				t.Errorf("the request is sent: %v, want %v", got, test.want)
			}
		})
	}
}

// TestWithheldAttemptHasNoReason guards against an attempt whose log line does not tell
// which belief about the server withheld it.
func TestWithheldAttemptHasNoReason(t *testing.T) {
	server := &directory.BackendServer{ID: "i-1", Service: "app", Address: "10.0.0.9:80"}
	sim := newBudgetSimulation(1)
	d := directory.New()
	d.Apply(epoch, []directory.Change{{ID: "i-1", Revision: 1, Server: server}}, 1)
	s := sim.gateways[0].server
	s.deps.Directory = d
	s.limits.Stated(sim.clock.Now(), incarnationOf(server), 1)
	for _, want := range []string{withheldLimited, withheldPaused, withheldServerGone} {
		active := &activeAttempt{chosenServer: chosenServer{server: server}}
		if s.admitSend(&request{}, active) || active.withheld != want {
			t.Errorf("got reason %q, want %q", active.withheld, want)
		}
		if want == withheldLimited {
			s.recordPause(server, 3*time.Second)
		} else {
			d.MarkLeaving(epoch, server)
		}
	}
}
