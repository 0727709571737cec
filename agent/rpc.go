package agent

import (
	"context"
	"time"

	"github.com/sesameswitch/sesameswitch/agentapi"
	"github.com/sesameswitch/sesameswitch/outcome"
)

// Service is the agent's net/rpc receiver, registered as "Agent".
type Service struct {
	agent *Agent
}

// NewService returns the receiver for an agent.
func NewService(a *Agent) *Service {
	return &Service{agent: a}
}

// Submit offers a request: it is accepted, joined to an earlier run of the
// same key, or refused. A refusal comes at once. The reply to an accepted
// request waits for the first part of the answer when that was asked for.
func (s *Service) Submit(args agentapi.SubmitArgs, reply *agentapi.SubmitReply) error {
	a := s.agent
	a.heard(args.Entry, args.ConfigVersion)
	answers := make(chan agentapi.SubmitReply, 1)
	if !a.commands.Push(submitCommand{args: &args, reply: answers}) {
		*reply = a.overrun(&args)
		return nil
	}
	*reply = <-answers
	if reply.Accepted && args.Read.Wait > 0 {
		reply.First = a.read(&args.Read)
	}
	return nil
}

// heard takes up a sign of life of an entry and the version it named.
func (a *Agent) heard(entry string, version uint64) {
	a.schedule.entries.heard(entry, a.deps.Clock.Now())
	if a.deps.Heard != nil {
		a.deps.Heard(version, entry)
	}
}

// overrun refuses a request that the scheduler has no room to look at. A
// request with a key may be a repeat of one that ran, so its outcome is open.
func (a *Agent) overrun(args *agentapi.SubmitArgs) agentapi.SubmitReply {
	refusal := outcome.Refuse(outcome.ReasonRingFull, "the agent is overrun")
	if args.Keyed {
		refusal = outcome.NewUnknown(outcome.ReasonRingFull, "the agent is overrun")
	}
	return agentapi.SubmitReply{Refusal: refusal.WithRetryAfter(time.Second), Status: a.Status()}
}

// Read returns a part of a run's answer, waiting for data up to args.Wait.
func (s *Service) Read(args agentapi.ReadArgs, reply *agentapi.ReadReply) error {
	*reply = s.agent.read(&args)
	return nil
}

func (a *Agent) read(args *agentapi.ReadArgs) agentapi.ReadReply {
	r := a.find(args)
	if r == nil {
		return agentapi.ReadReply{Status: a.Status()}
	}
	a.schedule.entries.heard(r.args.Entry, a.deps.Clock.Now())
	p := a.await(r, args)
	reply := agentapi.ReadReply{
		Known: !p.lost, Begun: p.begun, Code: p.code, Header: p.header, Data: p.data,
		Final: p.final, Refusal: p.refusal, Length: p.length,
	}
	if args.Offset == 0 || p.final {
		reply.Status = a.Status()
	}
	return reply
}

// await waits for a part of a run's answer and notes that it is read.
func (a *Agent) await(r *run, args *agentapi.ReadArgs) part {
	r.readers.Add(1)
	defer r.readers.Add(-1)
	ctx, cancel := context.WithTimeout(context.Background(), min(args.Wait, maxReadWait))
	defer cancel()
	limit := min(args.MaxBytes, maxReadBytes)
	p := r.answer.read(ctx, args.Offset, min(max(args.MinBytes, 1), limit), limit)
	r.lastRead.Store(a.deps.Clock.Now().UnixNano())
	if p.final {
		r.delivered.Store(true)
	}
	return p
}

func (a *Agent) find(args *agentapi.ReadArgs) *run {
	if args.Incarnation != "" && args.Incarnation != a.cfg.Incarnation {
		return nil
	}
	return a.schedule.find(args.ID, args.Account)
}

// Cancel gives up a run. A run that may not be repeated is left alone.
func (s *Service) Cancel(args agentapi.CancelArgs, reply *agentapi.CancelReply) error {
	a := s.agent
	known := make(chan bool, 1)
	if a.commands.Push(cancelCommand{args: &args, reply: known}) {
		reply.Known = <-known
	}
	reply.Status = a.Status()
	return nil
}

// Status answers a heartbeat of an entry.
func (s *Service) Status(args agentapi.StatusArgs, reply *agentapi.StatusReply) error {
	s.agent.heard(args.Entry, args.ConfigVersion)
	reply.Status = s.agent.Status()
	return nil
}
