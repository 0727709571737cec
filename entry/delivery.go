package entry

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/sesameswitch/sesameswitch/clock"

	"github.com/sesameswitch/sesameswitch/agentapi"
	"github.com/sesameswitch/sesameswitch/outcome"
	"github.com/sesameswitch/sesameswitch/peer"
	"github.com/sesameswitch/sesameswitch/routing"
)

var (
	eventEnd    = []byte("\n\n")
	eventIDLine = []byte("\nid:")
)

// delivery reads the response of one run from an agent and forwards it to the
// caller.
type delivery struct {
	entry        *Entry
	req          *request
	chosen       chosenAgent
	id           string
	progress     *progress
	tokensBefore int // tokens that the caller had before this attempt
	out          sink
	sentAt       time.Time

	offset          int64
	lastProgressAt  time.Time // when data last arrived
	partialEvent    []byte    // the start of an event whose end has not arrived
	timeToFirstByte time.Duration
}

// run handles the first chunk, unless it is nil, and reads further chunks until
// the response is complete, the agent reports a failure, or the agent is
// unreachable for longer than the reconnect window.
func (d *delivery) run(ctx context.Context, reply *agentapi.ReadReply) *outcome.Refusal {
	d.lastProgressAt = d.entry.deps.Clock.Now()
	var unreachableSince time.Time
	if reply == nil {
		unreachableSince = d.lastProgressAt
	}
	for {
		if reply != nil {
			unreachableSince = time.Time{}
			if over, refusal := d.handleReply(reply); over {
				return refusal
			}
		}
		var err error
		reply, err = d.read(ctx)
		if ctx.Err() != nil {
			return outcome.NewUnknown(outcome.ReasonCancelled, "the caller disconnected")
		}
		if err == nil {
			continue
		}
		now := d.entry.deps.Clock.Now()
		if unreachableSince.IsZero() {
			unreachableSince = now
		}
		if now.Sub(unreachableSince) > d.reconnectWindow() {
			return outcome.NewUnknown(outcome.ReasonConnectionLost, "the agent that has the response cannot be reached")
		}
		clock.Sleep(ctx, reconnectInterval)
	}
}

// handleReply handles a chunk and reports whether the delivery is over.
func (d *delivery) handleReply(reply *agentapi.ReadReply) (over bool, refusal *outcome.Refusal) {
	if !reply.Known {
		return true, outcome.NewUnknown(outcome.ReasonConnectionLost, "the agent no longer has the response")
	}
	now := d.entry.deps.Clock.Now()
	if len(reply.Data) > 0 {
		d.lastProgressAt = now
	}
	if over, refusal := d.forwardReply(reply); over {
		return true, refusal
	}
	if now.Sub(d.lastProgressAt) > d.progressTimeout() {
		return true, outcome.NewUnknown(outcome.ReasonTimeout, "the response made no progress within the timeout")
	}
	return false, nil
}

// progressTimeout is how long the response may make no progress.
func (d *delivery) progressTimeout() time.Duration {
	if d.req.keyed() {
		return keyedStallTimeout
	}
	if d.offset > 0 || d.progress.headSent {
		return stallTimeout
	}
	return d.req.firstByteTimeout()
}

// reconnectWindow is how long the agent may be unreachable.
func (d *delivery) reconnectWindow() time.Duration {
	if d.req.keyed() {
		return reconnectWindow
	}
	return failoverWindow
}

// readArgs asks for the next chunk and waits no longer than the progress
// timeout.
func (d *delivery) readArgs(now time.Time) agentapi.ReadArgs {
	remaining := d.progressTimeout()
	if !d.lastProgressAt.IsZero() {
		remaining -= now.Sub(d.lastProgressAt)
	}
	args := agentapi.ReadArgs{
		ID: d.id, Account: d.req.account.Name, Incarnation: d.chosen.incarnation,
		Offset: d.offset, MaxBytes: maxReadBytes, Wait: min(readWait, max(remaining, time.Millisecond)),
	}
	if !d.req.args.Stream {
		args.MinBytes = maxReadBytes
	}
	return args
}

// read reads the next chunk.
func (d *delivery) read(ctx context.Context) (*agentapi.ReadReply, error) {
	args := d.readArgs(d.entry.deps.Clock.Now())
	ctx, cancel := context.WithTimeout(ctx, args.Wait+rpcMargin)
	defer cancel()
	var reply agentapi.ReadReply
	err := d.entry.deps.Peers.Call(ctx, d.chosen.vm.Address, agentapi.MethodRead, args, &reply)
	if err != nil {
		return nil, err
	}
	d.entry.agents.recordStatus(d.chosen.vm, &reply.Status)
	return &reply, nil
}

// forwardReply forwards a chunk to the caller and reports whether the response
// is over.
func (d *delivery) forwardReply(reply *agentapi.ReadReply) (over bool, refusal *outcome.Refusal) {
	if reply.Final && reply.Refusal != nil && len(reply.Data) == 0 {
		return true, reply.Refusal
	}
	if reply.Begun && !d.progress.headSent && (len(reply.Data) > 0 || reply.Final) {
		d.progress.headSent = true
		d.out.head(reply.Code, reply.Header)
	}
	if d.timeToFirstByte == 0 && len(reply.Data) > 0 {
		d.timeToFirstByte = d.entry.since(d.sentAt)
		d.entry.agents.observe(d.chosen, d.observationNow(routing.KindFirstToken))
	}
	if err := d.forward(reply.Data); err != nil {
		return true, outcome.NewUnknown(outcome.ReasonCancelled, "the caller disconnected")
	}
	if !reply.Final {
		return false, nil
	}
	if reply.Refusal == nil && d.offset != reply.Length {
		return true, outcome.NewUnknown(outcome.ReasonConnectionLost, "the response is truncated")
	}
	return true, reply.Refusal
}

// forward writes data to the caller. Of an event stream it writes only complete
// events, so that another attempt can resume after the last of them.
func (d *delivery) forward(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	d.offset += int64(len(data))
	if !d.req.args.Stream {
		return d.out.write(data)
	}
	if len(d.partialEvent) > 0 {
		data = append(d.partialEvent, data...)
		d.partialEvent = nil
	}
	end := bytes.LastIndex(data, eventEnd) + len(eventEnd)
	if end < len(eventEnd) {
		end = 0
	}
	if end < len(data) {
		d.partialEvent = bytes.Clone(data[end:])
	}
	if end == 0 {
		return nil
	}
	d.progress.addTokens(data[:end])
	return d.out.write(data[:end])
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

// observationNow returns an observation of the attempt at this time.
func (d *delivery) observationNow(kind routing.ObservationKind) routing.Observation {
	return routing.Observation{
		Kind: kind, FirstToken: d.timeToFirstByte, Completion: d.entry.since(d.sentAt),
		Tier: d.req.class.Tier, Class: d.req.class.Name, Model: d.req.args.Model,
	}
}

// finalObservation returns the observation of the ended attempt.
func (d *delivery) finalObservation(refusal *outcome.Refusal) routing.Observation {
	o := d.observationNow(routing.KindCompleted)
	o.Tokens = d.progress.tokens - d.tokensBefore
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
		return outcome.NewUnknown(outcome.ReasonTimeout, "the agent did not reply within the timeout")
	}
	if errors.Is(err, context.Canceled) {
		return outcome.NewUnknown(outcome.ReasonCancelled, "the caller disconnected")
	}
	return outcome.NewUnknown(outcome.ReasonConnectionLost, "the connection to the agent was lost")
}
