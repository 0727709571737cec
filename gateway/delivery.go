package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/sesameswitch/sesameswitch/eventstream"
	"github.com/sesameswitch/sesameswitch/routes"
	"github.com/sesameswitch/sesameswitch/upstream"
)

const (
	// wholeBytes is the largest answer that is read whole before it is passed
	// on, so that a failure in it can be made good.
	wholeBytes = 256 << 10
	// readBytes is read at once of an answer.
	readBytes = 8 << 10
)

// delivery passes the answers of one or more runs on as one answer.
type delivery struct {
	server *Server
	req    *request
	// begun says that the caller has a part of the answer.
	begun    bool
	splitter *eventstream.Splitter
	status   int
	// serverFailed says that the answer that was passed on is a failure.
	serverFailed bool
	// failure is the last failure that a backend server vouched for.
	failure *failure
	firstAt time.Duration
	// lastEventAt is when an event was passed on last, and longestPause the
	// longest time between two.
	lastEventAt  time.Time
	longestPause time.Duration
	buf          []byte
}

// failure is a whole answer that says that the request failed.
type failure struct {
	status int
	header http.Header
	body   []byte
}

func newDelivery(s *Server, req *request) *delivery {
	return &delivery{server: s, req: req}
}

// resumeAfter is the id of the last event that the caller has, when the stream
// is to go on from there.
func (d *delivery) resumeAfter() int64 {
	if d.begun && d.splitter != nil {
		return d.splitter.LastID()
	}
	return d.req.ResumeAfter
}

func (d *delivery) events() int {
	if d.splitter == nil {
		return 0
	}
	return d.splitter.Events()
}

// pass passes one answer on. An error stands for an answer that is not whole.
func (d *delivery) pass(ctx context.Context, ex *upstream.Exchange, notes ResponseInfo, o *outgoing) (verdict, error) {
	answer := ex.Response
	success := answer.StatusCode >= 200 && answer.StatusCode < 300
	if success && (!notes.Authentic || answer.Header.Get("Content-Encoding") != "") {
		return mayHaveRun, eris.New("the answer bears no seal")
	}
	if success && d.req.route.Kind == routes.Stream {
		return d.passStream(ctx, ex, o)
	}
	if d.begun {
		return mayHaveRun, eris.Errorf("status %d in place of the rest of a stream", answer.StatusCode)
	}
	body, whole, err := d.readWhole(ex)
	if err != nil {
		return mayHaveRun, err
	}
	if !success {
		return d.passOrKeepFailure(&failure{answer.StatusCode, d.server.deps.Codec.ForwardedHeader(answer.Header), body}, notes, whole)
	}
	d.firstAt = d.server.since(d.req)
	if whole {
		d.done(d.req.out.WriteResponse(answer.StatusCode, d.server.deps.Codec.ForwardedHeader(answer.Header), body))
		return delivered, nil
	}
	return d.passRest(ex, body)
}

// readWhole reads an answer up to wholeBytes.
func (d *delivery) readWhole(ex *upstream.Exchange) (body []byte, whole bool, err error) {
	body, err = io.ReadAll(io.LimitReader(ex, wholeBytes))
	if err != nil {
		return nil, false, err
	}
	if len(body) < wholeBytes {
		return body, true, nil
	}
	return body, false, nil
}

// passRest passes a large answer on while it comes.
func (d *delivery) passRest(ex *upstream.Exchange, first []byte) (verdict, error) {
	out := d.req.out
	out.WriteHead(ex.Response.StatusCode, d.server.deps.Codec.ForwardedHeader(ex.Response.Header), ex.Response.ContentLength)
	d.begun = true
	if !out.Write(first) {
		return hungUp, errors.New("the caller takes no bytes")
	}
	buf := d.buffer()
	for {
		n, err := ex.Read(buf)
		if errors.Is(err, io.EOF) {
			d.done(out.End(buf[:n]))
			return delivered, nil
		}
		if err != nil {
			return mayHaveRun, err
		}
		if !out.Write(buf[:n]) {
			return hungUp, errors.New("the caller takes no bytes")
		}
	}
}

// passOrKeepFailure passes a failure on at once, or keeps it while the request
// may be sent again.
func (d *delivery) passOrKeepFailure(f *failure, notes ResponseInfo, whole bool) (verdict, error) {
	if !whole {
		return mayHaveRun, eris.Errorf("a failure with status %d is too large", f.status)
	}
	retriable := f.status >= http.StatusInternalServerError || f.status == http.StatusTooManyRequests
	if notes.Authentic {
		d.failure = f
	}
	if retriable || !notes.Authentic {
		return mayHaveRun, nil
	}
	d.passFailure()
	return delivered, nil
}

// passFailure gives the failure that was kept as the final answer.
func (d *delivery) passFailure() {
	d.serverFailed = true
	d.status = d.failure.status
	d.req.log.WithFields(logrus.Fields{"event": "answer_failed", "route": d.req.route.Name, "status": d.failure.status, "after_ms": d.server.since(d.req).Milliseconds(), "sends": d.req.sends}).Info("the backend server's failure was passed on")
	d.server.meters.failed(d.req.route.Name)
	d.req.out.WriteResponse(d.failure.status, d.failure.header, d.failure.body)
}

func (d *delivery) buffer() []byte {
	if d.buf == nil {
		d.buf = make([]byte, readBytes)
	}
	return d.buf
}

// passStream passes whole events on as they come.
func (d *delivery) passStream(ctx context.Context, ex *upstream.Exchange, o *outgoing) (verdict, error) {
	if d.splitter == nil {
		d.splitter = eventstream.New(d.req.ResumeAfter)
	}
	d.splitter.DiscardPartial()
	if !strings.HasPrefix(ex.Response.Header.Get("Content-Type"), "text/event-stream") && !d.begun {
		return d.passRest(ex, nil)
	}
	buf := d.buffer()
	first := true
	for {
		n, err := ex.Read(buf)
		ended := errors.Is(err, io.EOF)
		whole, events, sound := d.splitter.Feed(buf[:n])
		if events > 0 && first {
			first = false
			o.ticket.FirstEvent(d.server.deps.Clock.Now())
		}
		if !d.give(ex, whole, ended && sound && d.splitter.PendingBytes() == 0) {
			return hungUp, errors.New("the caller takes no bytes")
		}
		switch {
		case !sound:
			return mayHaveRun, errors.New("the events are out of order")
		case ended && d.splitter.PendingBytes() > 0:
			return mayHaveRun, errors.New("the stream ended within an event")
		case ended:
			return delivered, nil
		case err != nil:
			return mayHaveRun, err
		case ctx.Err() != nil:
			return hungUp, ctx.Err()
		}
	}
}

// give passes bytes of a stream on. The head goes with the first of them.
func (d *delivery) give(ex *upstream.Exchange, whole []byte, last bool) bool {
	if !d.begun && (len(whole) > 0 || last) {
		d.begun = true
		d.firstAt = d.server.since(d.req)
		d.req.out.WriteHead(ex.Response.StatusCode, d.server.deps.Codec.ForwardedHeader(ex.Response.Header), -1)
	}
	if len(whole) > 0 {
		d.notePause()
	}
	if last {
		ok := d.req.out.End(whole)
		d.done(ok)
		return ok
	}
	return len(whole) == 0 || d.req.out.Write(whole)
}

// notePause notes the time since the event before.
func (d *delivery) notePause() {
	now := d.server.deps.Clock.Now()
	if !d.lastEventAt.IsZero() {
		d.longestPause = max(d.longestPause, now.Sub(d.lastEventAt))
	}
	d.lastEventAt = now
}

// done notes that the whole answer was given.
func (d *delivery) done(taken bool) {
	took := d.server.since(d.req)
	d.server.meters.completed(d.req.route.Name, took, d.firstAt)
	d.req.log.WithFields(logrus.Fields{
		"event": "answer_completed", "status": d.status, "taken": taken, "first_ms": d.firstAt.Milliseconds(),
		"after_ms": took.Milliseconds(), "pause_ms": d.longestPause.Milliseconds(), "route": d.req.route.Name, "events": d.events(), "sends": d.req.sends,
	}).Info("answer completed")
}
