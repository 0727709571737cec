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
	// maxBufferedBytes limits the responses that are read completely before they
	// are forwarded, so that the request can be retried if the response is
	// truncated. A response of this size or more is forwarded while it arrives.
	maxBufferedBytes = 256 << 10
	// readBufferBytes is the maximum size of one read from a response.
	readBufferBytes = 8 << 10
	// soundAfter is how long after its first event a stream that goes on shows that its
	// request does not crash backend servers.
	soundAfter = 300 * time.Millisecond
)

// responseForwarder forwards the responses of one or more runs of a request to
// the caller as a single response.
type responseForwarder struct {
	server *Server
	req    *request
	// started reports whether a part of the response was sent to the caller.
	started bool
	// splitter divides the event stream into events; nil if the response is not a
	// stream.
	splitter *eventstream.Splitter
	// status is the status of the response to the present attempt; zero if there is none.
	status int
	// attemptBegan is when the first event of the present attempt was forwarded; zero if
	// none was. progressRecorded reports whether the attempt was recorded as a success.
	attemptBegan     time.Time
	progressRecorded bool
	// eventsBefore is the number of events that earlier attempts forwarded.
	eventsBefore int
	// failureForwarded reports whether a backend server's failure response was
	// forwarded.
	failureForwarded bool
	// failure is the last failure response that a backend server marked as its
	// own.
	failure *failureResponse
	// firstByteAfter is the time from the arrival of the request until the first
	// event of a stream was ready to forward. For other responses it is the time
	// until the complete response, or its first maxBufferedBytes, was read.
	firstByteAfter time.Duration
	// lastEventAt is when the last event was forwarded; longestGap is the longest
	// time between two events.
	lastEventAt time.Time
	longestGap  time.Duration
	buf         []byte
}

// failureResponse is a complete response with a status other than 2xx.
type failureResponse struct {
	status int
	header http.Header
	body   []byte
	// length is that of the body or, in response to a HEAD request, the one that the backend
	// server stated; negative if it is unknown.
	length int64
}

func newResponseForwarder(s *Server, req *request) *responseForwarder {
	return &responseForwarder{server: s, req: req}
}

// resumeAfter returns the ID of the last event that the caller has received. The
// next attempt continues the stream after this event.
func (f *responseForwarder) resumeAfter() int64 {
	if f.started && f.splitter != nil {
		return f.splitter.LastID()
	}
	return f.req.ResumeAfter
}

// resumable reports whether a response of which a part was sent can be continued: it is an
// event stream, and the ID of an event that was sent shows where.
func (f *responseForwarder) resumable() bool {
	return f.splitter != nil && f.splitter.LastID() > f.req.ResumeAfter
}

func (f *responseForwarder) events() int {
	if f.splitter == nil {
		return 0
	}
	return f.splitter.Events()
}

// beginAttempt prepares for the response of another attempt.
func (f *responseForwarder) beginAttempt() {
	f.status, f.attemptBegan, f.progressRecorded = 0, time.Time{}, false
	f.eventsBefore = f.events()
}

// attemptEvents returns how many events the present attempt forwarded.
func (f *responseForwarder) attemptEvents() int { return f.events() - f.eventsBefore }

// forward forwards one response. It returns an error if the response is
// incomplete or invalid, or if the caller disconnected. A failure response that
// permits a retry gives resultMayHaveRun without an error.
func (f *responseForwarder) forward(ctx context.Context, ex *upstream.Exchange, info ResponseInfo, active *activeAttempt) (attemptResult, error) {
	response := ex.Response
	success := response.StatusCode >= 200 && response.StatusCode < 300
	if success && (!info.Authentic || response.Header.Get("Content-Encoding") != "") {
		return resultMayHaveRun, eris.New("the response is not marked as the backend server's own, or has a content encoding")
	}
	if success && f.req.route.Kind == routes.Stream {
		return f.forwardStream(ctx, ex, active)
	}
	if f.started {
		return resultMayHaveRun, eris.Errorf("status %d, but a part of an earlier response was already forwarded", response.StatusCode)
	}
	body, complete, err := f.readBuffered(watchedReader{active.watch, ex})
	if err != nil {
		return resultMayHaveRun, err
	}
	if !success {
		return f.forwardOrKeepFailure(&failureResponse{response.StatusCode, f.server.deps.Codec.ForwardedHeader(response.Header), body, f.lengthOf(response, body)}, info, complete)
	}
	f.firstByteAfter = f.server.sinceReceived(f.req)
	if complete {
		active.watch.recordFirst(f.server.deps.Clock.Now())
		f.recordCompletion(f.writeComplete(response, body))
		return resultDelivered, nil
	}
	return f.forwardRest(ex, body, active)
}

// writeComplete sends a complete response.
func (f *responseForwarder) writeComplete(response *http.Response, body []byte) bool {
	f.req.out.WriteHead(response.StatusCode, f.server.deps.Codec.ForwardedHeader(response.Header), f.lengthOf(response, body))
	return f.req.out.End(body)
}

// lengthOf returns the length that the head of a complete response states: in response to a HEAD
// request, which has no body, the one that the backend server stated.
func (f *responseForwarder) lengthOf(response *http.Response, body []byte) int64 {
	if f.req.in.Method == http.MethodHead {
		return response.ContentLength
	}
	return int64(len(body))
}

// readBuffered reads up to maxBufferedBytes of a response, and less while memory is short. complete
// is true only if the response is shorter.
func (f *responseForwarder) readBuffered(ex io.Reader) (body []byte, complete bool, err error) {
	body = make([]byte, 0, readBufferBytes)
	for {
		n, err := ex.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, true, nil
		case err != nil:
			return nil, false, err
		}
		if len(body) < cap(body) {
			continue
		}
		size, claimed := 2*cap(body), int64(0)
		if cap(body) > readBufferBytes {
			claimed = int64(cap(body)) // the first buffer is not claimed
		}
		if size > maxBufferedBytes || !f.req.in.Memory.Replace(claimed, int64(size)) {
			return body, false, nil
		}
		grown := make([]byte, len(body), size)
		copy(grown, body)
		f.req.in.Memory.Shrink(claimed)
		body = grown
	}
}

// forwardRest forwards the bytes that were read first, then the rest of the
// response as it arrives.
func (f *responseForwarder) forwardRest(ex *upstream.Exchange, first []byte, active *activeAttempt) (attemptResult, error) {
	out := f.req.out
	out.WriteHead(ex.Response.StatusCode, f.server.deps.Codec.ForwardedHeader(ex.Response.Header), ex.Response.ContentLength)
	f.started = true
	if !out.Write(first) {
		return resultCallerDisconnected, errors.New("write to the caller failed")
	}
	buf := f.buffer()
	for {
		n, err := active.watch.read(ex, buf)
		if errors.Is(err, io.EOF) {
			f.recordCompletion(out.End(buf[:n]))
			return resultDelivered, nil
		}
		if err != nil {
			return resultMayHaveRun, err
		}
		if !out.Write(buf[:n]) {
			return resultCallerDisconnected, errors.New("write to the caller failed")
		}
	}
}

// forwardOrKeepFailure forwards a failure response immediately if a retry would
// not help. Otherwise it keeps the response in case no retry succeeds. A response
// that no backend server marked as its own is neither forwarded nor kept.
func (f *responseForwarder) forwardOrKeepFailure(failure *failureResponse, info ResponseInfo, complete bool) (attemptResult, error) {
	if !complete {
		return resultMayHaveRun, eris.Errorf("failure response with status %d exceeds the size limit", failure.status)
	}
	retryable := failure.status >= http.StatusInternalServerError || failure.status == http.StatusTooManyRequests
	if info.Authentic {
		f.failure = failure
	}
	if retryable || !info.Authentic {
		return resultMayHaveRun, nil
	}
	f.forwardFailure("")
	return resultDelivered, nil
}

// forwardFailure sends the kept failure response as the final response. reason is why there
// is no further attempt; empty if one would not help.
func (f *responseForwarder) forwardFailure(reason string) {
	f.failureForwarded = true
	f.status = f.failure.status
	log := f.req.log
	if reason != "" {
		log = log.WithField("reason", reason)
	}
	log.WithFields(logrus.Fields{"event": "answer_failed", "no_answer": f.server.recordNoAnswer(f.req, reason, true), "route": f.req.route.Name, "status": f.failure.status, "after_ms": f.server.sinceReceived(f.req).Milliseconds(), "sends": f.req.attempts}).Info("failure response of the backend server forwarded")
	f.server.metrics.failed(f.req.route.Name)
	f.req.out.WriteHead(f.failure.status, f.failure.header, f.failure.length)
	f.req.out.End(f.failure.body)
}

func (f *responseForwarder) buffer() []byte {
	if f.buf == nil {
		f.buf = make([]byte, readBufferBytes)
	}
	return f.buf
}

// forwardStream forwards complete events as they arrive.
func (f *responseForwarder) forwardStream(ctx context.Context, ex *upstream.Exchange, active *activeAttempt) (attemptResult, error) {
	if f.splitter == nil {
		f.splitter = eventstream.New(f.req.ResumeAfter)
	}
	f.splitter.DiscardPartial() // left by an interrupted attempt
	if !strings.HasPrefix(ex.Response.Header.Get("Content-Type"), "text/event-stream") && !f.started {
		return f.forwardRest(ex, nil, active)
	}
	buf := f.buffer()
	first := true
	for {
		n, err := active.watch.read(ex, buf)
		ended := errors.Is(err, io.EOF)
		complete, events, valid := f.splitter.Feed(buf[:n])
		if events > 0 && first {
			first = false
			f.limitContinuation(active)
			active.tracker.FirstEvent(f.server.deps.Clock.Now())
			active.watch.recordFirst(f.server.deps.Clock.Now())
		} else if events > 0 {
			active.tracker.Events(f.server.deps.Clock.Now(), events)
		}
		last := ended && valid && f.splitter.PendingBytes() == 0
		if !f.writeEvents(ex, complete, last) && !last { // a complete response that the caller did not take is recorded as such
			return resultCallerDisconnected, errors.New("write to the caller failed")
		}
		switch {
		case !valid:
			return resultMayHaveRun, errors.New("event too large, or event IDs out of order")
		case ended && f.splitter.PendingBytes() > 0:
			return resultMayHaveRun, errors.New("the stream ended within an event")
		case ended:
			f.server.fleetOf(f.req.service.Name).RecordRest(f.req.route.Name, f.server.sinceReceived(f.req)-f.firstByteAfter)
			return resultDelivered, nil
		case err != nil:
			return resultMayHaveRun, err
		case ctx.Err() != nil:
			return resultMayHaveRun, ctx.Err() // failureResult distinguishes the deadline from a caller that left
		}
	}
}

// limitContinuation records where the stream may go on, when an attempt has brought its first
// event.
func (f *responseForwarder) limitContinuation(active *activeAttempt) {
	if f.req.continuation == nil {
		f.req.continuation = f.server.continuationAt(active.server)
	}
	f.server.recordOrigin(f.req)
}

// writeEvents writes complete events to the caller, and the head before the
// first of them. If last is true, it ends the response.
func (f *responseForwarder) writeEvents(ex *upstream.Exchange, events []byte, last bool) bool {
	if !f.started && (len(events) > 0 || last) {
		f.started = true
		f.firstByteAfter = f.server.sinceReceived(f.req)
		f.req.out.WriteHead(ex.Response.StatusCode, f.server.deps.Codec.ForwardedHeader(ex.Response.Header), -1)
	}
	if len(events) > 0 {
		f.recordGap()
		f.recordProgress()
	}
	if last {
		ok := f.req.out.End(events)
		f.recordCompletion(ok)
		return ok
	}
	return len(events) == 0 || f.req.out.Write(events)
}

// recordProgress records that the response goes on, soundAfter the first event of the
// attempt.
func (f *responseForwarder) recordProgress() {
	switch {
	case f.attemptBegan.IsZero():
		f.attemptBegan = f.lastEventAt
	case !f.progressRecorded && f.lastEventAt.Sub(f.attemptBegan) >= soundAfter:
		f.progressRecorded = true
		f.server.recordSound(f.req)
	}
}

// recordGap records the time since events were last forwarded.
func (f *responseForwarder) recordGap() {
	now := f.server.deps.Clock.Now()
	if !f.lastEventAt.IsZero() {
		f.longestGap = max(f.longestGap, now.Sub(f.lastEventAt))
	}
	f.lastEventAt = now
}

// recordCompletion records that the complete response was written. accepted
// reports whether the caller's connection accepted all of it.
func (f *responseForwarder) recordCompletion(accepted bool) {
	took := f.server.sinceReceived(f.req)
	f.server.metrics.completed(f.req.route.Name, took, f.firstByteAfter)
	f.req.log.WithFields(logrus.Fields{
		"event": "answer_completed", "status": f.status, "taken": accepted, "first_ms": f.firstByteAfter.Milliseconds(),
		"after_ms": took.Milliseconds(), "pause_ms": f.longestGap.Milliseconds(), "route": f.req.route.Name, "events": f.events(), "sends": f.req.attempts,
		"target_ms": f.req.route.LatencyTarget.Milliseconds(), "gap_target_ms": f.req.route.MaxEventGap.Milliseconds(),
	}).Info("response completed")
}
