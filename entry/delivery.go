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
	eventEnd        = []byte("\n\n")
	eventNumberLine = []byte("\nid:")
)

// delivery reads one run's answer from an agent and passes it on.
type delivery struct {
	entry  *Entry
	req    *request
	chosen target
	id     string
	got    *progress
	had    int // tokens that the caller had before
	out    sink
	sent   time.Time

	offset     int64
	movedAt    time.Time // when bytes last came
	tail       []byte    // the start of an event whose end is still to come
	firstBytes time.Duration
}

// run takes the first part, unless it is nil, and reads until the answer is
// whole, the agent reports a failure, or the agent is out of reach for longer
// than the reconnect window.
func (d *delivery) run(ctx context.Context, reply *agentapi.ReadReply) *outcome.Refusal {
	d.movedAt = d.entry.deps.Clock.Now()
	var lostAt time.Time
	if reply == nil {
		lostAt = d.movedAt
	}
	for {
		if reply != nil {
			lostAt = time.Time{}
			if over, refusal := d.accept(reply); over {
				return refusal
			}
		}
		var err error
		reply, err = d.read(ctx)
		if ctx.Err() != nil {
			return outcome.NewUnknown(outcome.ReasonCancelled, "the caller gave up")
		}
		if err == nil {
			continue
		}
		now := d.entry.deps.Clock.Now()
		if lostAt.IsZero() {
			lostAt = now
		}
		if now.Sub(lostAt) > d.reconnectWindow() {
			return outcome.NewUnknown(outcome.ReasonConnectionLost, "the agent that has the answer cannot be reached")
		}
		clock.Sleep(ctx, reconnectPause)
	}
}

// accept takes a part and reports whether the delivery is over.
func (d *delivery) accept(reply *agentapi.ReadReply) (over bool, refusal *outcome.Refusal) {
	if !reply.Known {
		return true, outcome.NewUnknown(outcome.ReasonConnectionLost, "the agent lost the answer")
	}
	now := d.entry.deps.Clock.Now()
	if len(reply.Data) > 0 {
		d.movedAt = now
	}
	if over, refusal := d.take(reply); over {
		return true, refusal
	}
	if now.Sub(d.movedAt) > d.patience() {
		return true, outcome.NewUnknown(outcome.ReasonTimeout, "the backend server does not answer")
	}
	return false, nil
}

// patience is how long the answer may stand still.
func (d *delivery) patience() time.Duration {
	if d.req.keyed() {
		return keyedPatience
	}
	if d.offset > 0 || d.got.begun {
		return stallTimeout
	}
	return d.req.patience()
}

// reconnectWindow is how long the agent may be out of reach.
func (d *delivery) reconnectWindow() time.Duration {
	if d.req.keyed() {
		return reconnectWindow
	}
	return failoverWindow
}

// readArgs asks for the next part, waiting no longer than the patience allows.
func (d *delivery) readArgs(now time.Time) agentapi.ReadArgs {
	left := d.patience()
	if !d.movedAt.IsZero() {
		left -= now.Sub(d.movedAt)
	}
	args := agentapi.ReadArgs{
		ID: d.id, Account: d.req.account.Name, Incarnation: d.chosen.incarnation,
		Offset: d.offset, MaxBytes: readBytes, Wait: min(readWait, max(left, time.Millisecond)),
	}
	if !d.req.args.Stream {
		args.MinBytes = readBytes
	}
	return args
}

// read asks for the next part.
func (d *delivery) read(ctx context.Context) (*agentapi.ReadReply, error) {
	args := d.readArgs(d.entry.deps.Clock.Now())
	ctx, cancel := context.WithTimeout(ctx, args.Wait+readSlack)
	defer cancel()
	var reply agentapi.ReadReply
	err := d.entry.deps.Peers.Call(ctx, d.chosen.vm.Address, agentapi.MethodRead, args, &reply)
	if err != nil {
		return nil, err
	}
	d.entry.agents.heard(d.chosen.vm, &reply.Status)
	return &reply, nil
}

// take passes a part on and reports whether the answer is over.
func (d *delivery) take(reply *agentapi.ReadReply) (over bool, refusal *outcome.Refusal) {
	if reply.Final && reply.Refusal != nil && len(reply.Data) == 0 {
		return true, reply.Refusal
	}
	if reply.Begun && !d.got.begun && (len(reply.Data) > 0 || reply.Final) {
		d.got.begun = true
		d.out.head(reply.Code, reply.Header)
	}
	if d.firstBytes == 0 && len(reply.Data) > 0 {
		d.firstBytes = d.entry.since(d.sent)
		d.entry.agents.observe(d.chosen, d.seen(routing.KindFirstToken))
	}
	if err := d.pass(reply.Data); err != nil {
		return true, outcome.NewUnknown(outcome.ReasonCancelled, "the caller gave up")
	}
	if !reply.Final {
		return false, nil
	}
	if reply.Refusal == nil && d.offset != reply.Length {
		return true, outcome.NewUnknown(outcome.ReasonConnectionLost, "the answer is not whole")
	}
	return true, reply.Refusal
}

// pass hands bytes to the caller. Of an event stream it passes whole events
// only, so that another attempt can go on after the last of them.
func (d *delivery) pass(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	d.offset += int64(len(data))
	if !d.req.args.Stream {
		return d.out.write(data)
	}
	if len(d.tail) > 0 {
		data = append(d.tail, data...)
		d.tail = nil
	}
	end := bytes.LastIndex(data, eventEnd) + len(eventEnd)
	if end < len(eventEnd) {
		end = 0
	}
	if end < len(data) {
		d.tail = bytes.Clone(data[end:])
	}
	if end == 0 {
		return nil
	}
	d.got.count(data[:end])
	return d.out.write(data[:end])
}

// count adds the tokens in whole events. Numbered events are tokens; of a
// stream without numbers each event counts.
func (p *progress) count(events []byte) {
	numbered := bytes.Count(events, eventNumberLine)
	if bytes.HasPrefix(events, eventNumberLine[1:]) {
		numbered++
	}
	if numbered > 0 {
		p.numbered = true
	}
	if p.numbered {
		p.events += numbered
		return
	}
	p.events += bytes.Count(events, eventEnd)
}

// seen is an observation of the attempt at this moment.
func (d *delivery) seen(kind routing.ObservationKind) routing.Observation {
	return routing.Observation{
		Kind: kind, FirstToken: d.firstBytes, Completion: d.entry.since(d.sent),
		Tier: d.req.class.Tier, Class: d.req.class.Name, Model: d.req.args.Model,
	}
}

// observation says how the attempt went.
func (d *delivery) observation(refusal *outcome.Refusal) routing.Observation {
	o := d.seen(routing.KindCompleted)
	o.Tokens = d.got.events - d.had
	if refusal != nil {
		o.Kind = kindOf(refusal)
		o.RetryDelay = refusal.RetryAfter
	}
	return o
}

// callFailure is the refusal of a request whose call to the agent failed.
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
