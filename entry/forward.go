package entry

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/sesameswitch/sesameswitch/clock"

	"github.com/sesameswitch/sesameswitch/agentapi"
	"github.com/sesameswitch/sesameswitch/membudget"
	"github.com/sesameswitch/sesameswitch/outcome"
	"github.com/sesameswitch/sesameswitch/peer"
	"github.com/sesameswitch/sesameswitch/routing"
)

var (
	eventEnd    = []byte("\n\n")
	eventIDLine = []byte("\nid:")
)

// responseForwarder reads the response of one run from an agent and forwards it
// to the caller.
type responseForwarder struct {
	entry        *Entry
	req          *request
	chosen       chosenAgent
	id           string // of the run
	progress     *progress
	tokensBefore int // tokens that the caller had before this attempt
	out          sink
	sentAt       time.Time

	offset          int64     // number of bytes read from the agent
	lastProgressAt  time.Time // when data last arrived
	partialEvent    []byte    // the start of an event whose end has not arrived
	timeToFirstByte time.Duration
}

// run handles the first chunk and reads further chunks. It returns nil when the
// response is complete, and a refusal when the run failed, the response made no
// progress, the caller disconnected, or the agent was unreachable for longer
// than the reconnect window. reply is nil when the reply to the submission was
// lost.
func (f *responseForwarder) run(ctx context.Context, reply *agentapi.ReadReply) *outcome.Refusal {
	f.lastProgressAt = f.entry.deps.Clock.Now()
	var unreachableSince time.Time
	if reply == nil {
		unreachableSince = f.lastProgressAt
	}
	for {
		if reply != nil {
			unreachableSince = time.Time{}
			if over, refusal := f.handleReply(reply); over {
				return refusal
			}
		}
		var err error
		reply, err = f.read(ctx)
		if ctx.Err() != nil {
			return outcome.NewUnknown(outcome.ReasonCancelled, "the caller gave up")
		}
		if err == nil {
			continue
		}
		now := f.entry.deps.Clock.Now()
		if unreachableSince.IsZero() {
			unreachableSince = now
		}
		if now.Sub(unreachableSince) > f.reconnectWindow() {
			return outcome.NewUnknown(outcome.ReasonConnectionLost, "the agent that has the answer cannot be reached")
		}
		clock.Sleep(ctx, reconnectInterval)
	}
}

// handleReply handles a chunk and reports whether the response is over.
func (f *responseForwarder) handleReply(reply *agentapi.ReadReply) (over bool, refusal *outcome.Refusal) {
	if !reply.Known {
		return true, outcome.NewUnknown(outcome.ReasonConnectionLost, "the agent lost the answer")
	}
	now := f.entry.deps.Clock.Now()
	if len(reply.Data) > 0 {
		f.lastProgressAt = now
	}
	if over, refusal := f.forwardReply(reply); over {
		return true, refusal
	}
	if now.Sub(f.lastProgressAt) > f.progressTimeout() {
		return true, outcome.NewUnknown(outcome.ReasonTimeout, "the backend server does not answer")
	}
	return false, nil
}

// progressTimeout returns how long the response may make no progress.
func (f *responseForwarder) progressTimeout() time.Duration {
	if f.req.keyed() {
		return keyedStallTimeout
	}
	if f.offset > 0 || f.progress.headSent {
		return stallTimeout
	}
	return f.req.firstByteTimeout()
}

// reconnectWindow returns how long the agent may be unreachable.
func (f *responseForwarder) reconnectWindow() time.Duration {
	if f.req.keyed() {
		return reconnectWindow
	}
	return failoverWindow
}

// readArgs returns the arguments of the next read. The read waits at the agent
// no longer than the progress timeout allows, but at least 1 ms, since Submit
// returns no chunk if the wait is zero. A response that is not a stream is read
// in large chunks.
func (f *responseForwarder) readArgs(now time.Time) agentapi.ReadArgs {
	remaining := f.progressTimeout()
	if !f.lastProgressAt.IsZero() {
		remaining -= now.Sub(f.lastProgressAt)
	}
	args := agentapi.ReadArgs{
		ID: f.id, Account: f.req.account.Name, Incarnation: f.chosen.incarnation,
		Offset: f.offset, MaxBytes: maxReadBytes, Wait: min(readWait, max(remaining, time.Millisecond)),
	}
	if !f.req.args.Stream {
		args.MinBytes = maxReadBytes
	}
	return args
}

// read reads the next chunk.
func (f *responseForwarder) read(ctx context.Context) (*agentapi.ReadReply, error) {
	args := f.readArgs(f.entry.deps.Clock.Now())
	ctx, cancel := context.WithTimeout(ctx, args.Wait+rpcMargin)
	defer cancel()
	var reply agentapi.ReadReply
	err := f.entry.deps.Peers.Call(ctx, f.chosen.vm.Address, agentapi.MethodRead, args, &reply)
	if err != nil {
		return nil, err
	}
	f.entry.agents.recordStatus(f.chosen.vm, &reply.Status)
	return &reply, nil
}

// forwardReply forwards a chunk to the caller and reports whether the response
// is over. The head is sent with the first data, so that the caller can still get
// a problem document if the run fails before.
func (f *responseForwarder) forwardReply(reply *agentapi.ReadReply) (over bool, refusal *outcome.Refusal) {
	if reply.Final && reply.Refusal != nil && len(reply.Data) == 0 {
		return true, reply.Refusal
	}
	if reply.Begun && !f.progress.headSent && (len(reply.Data) > 0 || reply.Final) {
		f.progress.headSent = true
		f.out.head(reply.Code, reply.Header)
	}
	if f.timeToFirstByte == 0 && len(reply.Data) > 0 {
		f.timeToFirstByte = f.entry.since(f.sentAt)
		f.entry.agents.observe(f.chosen, f.observationNow(routing.KindFirstToken))
	}
	if err := f.forward(reply.Data); errors.Is(err, errNoResponseMemory) {
		return true, outcome.NewUnknown(outcome.ReasonMemory, "other responses hold the memory").WithRetryAfter(membudget.StallTime)
	} else if err != nil {
		return true, outcome.NewUnknown(outcome.ReasonCancelled, "the caller gave up")
	}
	if !reply.Final {
		return false, nil
	}
	if reply.Refusal == nil && f.offset != reply.Length {
		return true, outcome.NewUnknown(outcome.ReasonConnectionLost, "the answer is not whole")
	}
	return true, reply.Refusal
}

// forward writes data to the caller. Of an event stream it writes only complete
// events, so that another attempt can resume after the last of them.
func (f *responseForwarder) forward(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	f.offset += int64(len(data))
	if !f.req.args.Stream {
		return f.out.write(data)
	}
	if len(f.partialEvent) > 0 {
		data = append(f.partialEvent, data...)
		f.partialEvent = nil
	}
	end := bytes.LastIndex(data, eventEnd) + len(eventEnd)
	if end < len(eventEnd) { // data has no end of an event
		end = 0
	}
	if end < len(data) {
		f.partialEvent = bytes.Clone(data[end:])
	}
	if end == 0 {
		return nil
	}
	f.progress.addTokens(data[:end])
	return f.out.write(data[:end])
}

// addTokens counts the tokens in complete events. An event with an id is a
// token; in a stream without ids, each event counts as one.
func (p *progress) addTokens(events []byte) {
	withID := bytes.Count(events, eventIDLine)
	if bytes.HasPrefix(events, eventIDLine[1:]) {
		withID++
	}
	if withID > 0 {
		p.eventsHaveIDs = true
	}
	if p.eventsHaveIDs {
		p.tokens += withID
		return
	}
	p.tokens += bytes.Count(events, eventEnd)
}

// observationNow returns an observation of the attempt with its current times.
func (f *responseForwarder) observationNow(kind routing.ObservationKind) routing.Observation {
	return routing.Observation{
		Kind: kind, FirstToken: f.timeToFirstByte, Completion: f.entry.since(f.sentAt),
		Tier: f.req.class.Tier, Class: f.req.class.Name, Model: f.req.args.Model,
	}
}

// finalObservation returns the observation of the ended attempt.
func (f *responseForwarder) finalObservation(refusal *outcome.Refusal) routing.Observation {
	o := f.observationNow(routing.KindCompleted)
	o.Tokens = f.progress.tokens - f.tokensBefore
	if refusal != nil {
		o.Kind = observationKind(refusal)
		o.RetryDelay = refusal.RetryAfter
	}
	return o
}

// callFailure returns the refusal of a request whose call to the agent failed.
func callFailure(err error) *outcome.Refusal {
	if peer.NotSent(err) {
		return outcome.Refuse(outcome.ReasonConnectionLost, "the agent cannot be reached").WithRetryAfter(time.Second)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return outcome.NewUnknown(outcome.ReasonTimeout, "the agent did not answer in time")
	}
	if errors.Is(err, context.Canceled) {
		return outcome.NewUnknown(outcome.ReasonCancelled, "the caller gave up")
	}
	return outcome.NewUnknown(outcome.ReasonConnectionLost, "the connection to the agent was lost")
}
