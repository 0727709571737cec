package agent

import (
	"context"
	"time"

	"github.com/sesameswitch/sesameswitch/agentapi"
	"github.com/sesameswitch/sesameswitch/membudget"
	"github.com/sesameswitch/sesameswitch/outcome"
)

// RPCService is the agent's net/rpc receiver, registered as "Agent".
type RPCService struct {
	agent *Agent
}

// NewRPCService returns the net/rpc receiver of an agent.
func NewRPCService(a *Agent) *RPCService {
	return &RPCService{agent: a}
}

// Submit submits a request. The request is accepted, joined to the existing run
// with the same ID, or refused. A refusal is returned at once. The reply to an
// accepted request waits for the first chunk of the response if args.Read asks
// for it.
func (s *RPCService) Submit(args agentapi.SubmitArgs, reply *agentapi.SubmitReply) error {
	a := s.agent
	a.observeEntry(args.Entry, args.ConfigVersion)
	memory := a.newClaim()
	if !memory.Grow(int64(len(args.Body))) {
		*reply = a.refuseOverload(&args, outcome.ReasonMemory, "other requests hold the memory of the agent")
		return nil
	}
	replies := make(chan agentapi.SubmitReply, 1)
	if !a.commands.Push(submitCommand{args: &args, memory: memory, reply: replies}) {
		memory.Release()
		*reply = a.refuseOverload(&args, outcome.ReasonRingFull, "the agent is overrun")
		return nil
	}
	*reply = <-replies
	if !reply.Accepted || reply.Joined {
		memory.Release() // else the run holds it
	}
	if reply.Accepted && args.Read.Wait > 0 {
		reply.First = a.read(&args.Read)
	}
	return nil
}

// observeEntry records that a message of an entry has arrived, and passes the
// configuration version in that message to Dependencies.ObserveVersion.
func (a *Agent) observeEntry(entry string, version uint64) {
	a.scheduler.entries.record(entry, a.deps.Clock.Now())
	if a.deps.ObserveVersion != nil {
		a.deps.ObserveVersion(version, entry)
	}
}

// newClaim returns the claim of a request on the memory of the agent.
func (a *Agent) newClaim() *membudget.Claim {
	if a.deps.Memory == nil {
		return nil
	}
	return a.deps.Memory.NewClaim(func() {}) // not called: the request is complete
}

// refuseOverload refuses a request for which the agent has no place or memory. A request
// with a key may be a retry of one that ran, so its outcome is unknown.
func (a *Agent) refuseOverload(args *agentapi.SubmitArgs, reason outcome.Reason, detail string) agentapi.SubmitReply {
	refusal := outcome.Refuse(reason, detail)
	if args.Keyed {
		refusal = outcome.NewUnknown(reason, detail)
	}
	return agentapi.SubmitReply{Refusal: refusal.WithRetryAfter(time.Second), Status: a.Status()}
}

// Read returns a chunk of a run's response. It waits up to args.Wait for data.
func (s *RPCService) Read(args agentapi.ReadArgs, reply *agentapi.ReadReply) error {
	*reply = s.agent.read(&args)
	return nil
}

func (a *Agent) read(args *agentapi.ReadArgs) agentapi.ReadReply {
	r := a.find(args)
	if r == nil {
		return agentapi.ReadReply{Status: a.Status()}
	}
	a.scheduler.entries.record(r.args.Entry, a.deps.Clock.Now())
	c := a.awaitChunk(r, args)
	reply := agentapi.ReadReply{
		Known: !c.discarded, Begun: c.headReceived, Code: c.code, Header: c.header, Data: c.data,
		Final: c.final, Refusal: c.refusal, Length: c.length,
	}
	if args.Offset == 0 || c.final {
		reply.Status = a.Status()
	}
	return reply
}

// awaitChunk waits for a chunk of a run's response and records the read, so that
// the run is not cancelled as abandoned.
func (a *Agent) awaitChunk(r *run, args *agentapi.ReadArgs) chunk {
	r.activeReads.Add(1)
	defer r.activeReads.Add(-1)
	ctx, cancel := context.WithTimeout(context.Background(), min(args.Wait, maxReadWait))
	defer cancel()
	maxBytes := min(args.MaxBytes, maxReadBytes)
	c := r.response.read(ctx, args.Offset, min(max(args.MinBytes, 1), maxBytes), maxBytes)
	r.lastReadAt.Store(a.deps.Clock.Now().UnixNano())
	if c.final {
		r.delivered.Store(true)
		r.response.delivered()
	}
	return c
}

// find returns the run that args name, or nil if the account has no such run in
// this incarnation.
func (a *Agent) find(args *agentapi.ReadArgs) *run {
	if args.Incarnation != "" && args.Incarnation != a.cfg.Incarnation {
		return nil
	}
	return a.scheduler.find(args.ID, args.Account)
}

// Cancel cancels a run. It has no effect on an at-most-once run. If the command
// ring is full, the run is not cancelled and reply.Known is false.
func (s *RPCService) Cancel(args agentapi.CancelArgs, reply *agentapi.CancelReply) error {
	a := s.agent
	known := make(chan bool, 1)
	if a.commands.Push(cancelCommand{args: &args, reply: known}) {
		reply.Known = <-known
	}
	reply.Status = a.Status()
	return nil
}

// Status returns the agent's status. Entries call it as a heartbeat.
func (s *RPCService) Status(args agentapi.StatusArgs, reply *agentapi.StatusReply) error {
	s.agent.observeEntry(args.Entry, args.ConfigVersion)
	reply.Status = s.agent.Status()
	return nil
}
