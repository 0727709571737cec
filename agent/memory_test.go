package agent

import (
	"testing"

	"github.com/sesameswitch/sesameswitch/agentapi"
	"github.com/sesameswitch/sesameswitch/membudget"
	"github.com/sesameswitch/sesameswitch/outcome"
)

// TestBodiesStayWithinMemory checks that an agent refuses requests when those that it holds take
// its memory, that a request with a key gets the outcome unknown, and that ended and refused
// requests give their memory back.
func TestBodiesStayWithinMemory(t *testing.T) {
	h := newHarness(t, 1)
	h.agent.deps.Memory = membudget.New(1<<20, h.clock)
	submit := func(id, class string) agentapi.SubmitReply {
		var reply agentapi.SubmitReply
		_ = h.Submit(agentapi.SubmitArgs{
			ID: id, Entry: "entry-1", Incarnation: "life-1", Account: "acme", Class: class, Service: "booking",
			Method: "POST", Path: "/", Keyed: class == "payment", Body: make([]byte, 300<<10),
		}, &reply)
		return reply
	}
	for _, id := range []string{"a", "b"} {
		if reply := submit(id, "lookup"); !reply.Accepted {
			t.Fatalf("%s: got %+v, want accepted", id, reply)
		}
	}
	<-h.backend.started
	if reply := submit("c", "lookup"); reply.Accepted || reply.Refusal.Reason != outcome.ReasonMemory || reply.Refusal.Outcome != outcome.NotRun || reply.Refusal.RetryAfter == 0 {
		t.Errorf("got %+v, want a refusal for lack of memory", reply)
	}
	if reply := submit(h.key(), "payment"); reply.Accepted || reply.Refusal.Outcome != outcome.Unknown {
		t.Errorf("keyed: got %+v, want the outcome unknown", reply)
	}
	if reply := submit("a", "lookup"); reply.Accepted {
		t.Errorf("got %+v, want a refusal for lack of memory", reply)
	}
	close(h.backend.release)
	<-h.backend.started
	h.read("a", 0)
	h.read("b", 0)
	if reply := submit("d", "lookup"); !reply.Accepted {
		t.Errorf("after the others have ended: got %+v, want accepted", reply)
	}
	<-h.backend.started
	h.read("d", 0)
	if used := h.agent.deps.Memory.Usage().Used; used != 0 {
		t.Errorf("%d bytes are held after all requests have ended", used)
	}
}
