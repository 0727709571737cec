package gateway

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sesameswitch/sesameswitch/directory"
	"github.com/sesameswitch/sesameswitch/origin"
	"github.com/sesameswitch/sesameswitch/routes"
)

const (
	// originTimeout is how long other gateways are asked where a stream began; they are asked
	// again after originRepeatAfter, as messages may be lost.
	originTimeout     = 150 * time.Millisecond
	originRepeatAfter = 40 * time.Millisecond
	// maxInquiries bounds the streams about which other gateways are asked at a time.
	maxInquiries = 1024
	// originMargin is how much longer than the timeout of its route a stream is remembered.
	originMargin = 5 * time.Second
	// maxVersionsViewAge is the maximum age of the view for concluding that only one software
	// version has served. A watch of the store returns within this time.
	maxVersionsViewAge = maxRetiredViewAge
)

// OriginAsker informs other gateways of where streams began, and asks them. Their answers are passed
// to ApplyOriginAnswer of the Server.
type OriginAsker interface {
	// OriginHolders returns the addresses of the gateways that may know it.
	OriginHolders(key origin.Key) []string
	AskOrigin(q origin.Question, targets []string)
	// ReportOrigins sends the new reports of OriginExchange before it returns.
	ReportOrigins()
}

// inquiry is a question to other gateways.
type inquiry struct {
	// pending holds the addresses of the gateways that have not answered.
	pending []string
	answers []origin.Answer
	// done is closed when all have answered, or one has a record.
	done chan struct{}
}

// inquiries holds the questions to other gateways.
type inquiries struct {
	mu    sync.Mutex
	byKey map[origin.Key]*inquiry
}

func newInquiries() *inquiries { return &inquiries{byKey: make(map[origin.Key]*inquiry)} }

// open returns the inquiry about a stream, and whether the caller has to ask. It returns nil
// if there are too many.
func (q *inquiries) open(key origin.Key, targets []string) (i *inquiry, ask bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if known := q.byKey[key]; known != nil || len(q.byKey) >= maxInquiries {
		return known, false
	}
	i = &inquiry{pending: slices.Clone(targets), done: make(chan struct{})}
	q.byKey[key] = i
	return i, true
}

// answer adds an answer.
func (q *inquiries) answer(from string, a origin.Answer) {
	q.mu.Lock()
	defer q.mu.Unlock()
	i := q.byKey[a.Key]
	if i == nil {
		return
	}
	at := slices.Index(i.pending, from)
	if at < 0 && a.Kind != origin.Recorded {
		return // answered before
	}
	if at >= 0 {
		i.pending = slices.Delete(i.pending, at, at+1)
	}
	i.answers = append(i.answers, a)
	if len(i.pending) == 0 || a.Kind == origin.Recorded {
		close(i.done)
		delete(q.byKey, a.Key)
	}
}

// pendingOf returns the gateways that have not answered.
func (q *inquiries) pendingOf(i *inquiry) []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.Clone(i.pending)
}

// end returns the answers so far, and ends the inquiry.
func (q *inquiries) end(key origin.Key, i *inquiry) []origin.Answer {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.byKey[key] == i {
		delete(q.byKey, key)
	}
	return slices.Clone(i.answers)
}

// askOrigin asks other gateways and returns their answers.
func (s *Server) askOrigin(ctx context.Context, q origin.Question) []origin.Answer {
	if s.deps.Origins == nil {
		return nil
	}
	targets := s.deps.Origins.OriginHolders(q.Key)
	if len(targets) == 0 {
		return nil
	}
	i, ask := s.inquiries.open(q.Key, targets)
	if i == nil {
		return nil
	}
	if ask {
		s.deps.Origins.AskOrigin(q, targets)
	}
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	repeat := time.NewTimer(originRepeatAfter)
	defer repeat.Stop()
	for {
		select {
		case <-i.done:
			return s.inquiries.end(q.Key, i)
		case <-ctx.Done():
			return s.inquiries.end(q.Key, i)
		case <-repeat.C:
			if ask {
				s.deps.Origins.AskOrigin(q, s.inquiries.pendingOf(i))
			}
		}
	}
}

// limitTakenUpStream determines where a stream that the caller takes up may go on. It returns
// why the request is refused if nobody knows where the stream began, or the active
// configuration no longer allows it.
func (s *Server) limitTakenUpStream(ctx context.Context, req *request) *refusal {
	if req.ResumeAfter == 0 || req.route.Kind != routes.Stream {
		return nil
	}
	start := s.deps.Clock.Now()
	q := origin.Question{Key: req.streamKey(), Service: req.service.Name, Span: s.versionSpan(req)}
	answers := []origin.Answer{s.AnswerOrigin(start, q)}
	if answers[0].Kind != origin.Recorded {
		answers = append(answers, s.askOrigin(ctx, q)...)
	}
	began, kind := origin.Conclude(answers)
	if kind == origin.OneVersion && len(req.route.Targets) > 1 {
		began, kind = origin.Origin{}, origin.Unknown // the stream may have begun at another service
	}
	if kind == origin.OneVersion && !s.deps.View.ConfirmSoleVersion(ctx, began.Service, began.SoftwareVersion, q.Span) {
		began, kind = origin.Origin{}, origin.Unconfirmed
	}
	s.metrics.takenUp(kind.String())
	req.log.WithFields(logrus.Fields{
		"event": "stream_taken_up", "route": req.route.Name, "resumes": req.Resumes, "resume_after": req.ResumeAfter, "stream": q.Key.String(),
		"origin": kind.String(), "service": began.Service, "software_version": began.SoftwareVersion, "answers": len(answers), "own_answer": answers[0].Kind.String(),
		"view_age_ms": s.deps.View.Age().Milliseconds(), "took_ms": s.deps.Clock.Now().Sub(start).Milliseconds(),
	}).Info("caller takes up a stream")
	if kind != origin.Recorded && kind != origin.OneVersion || !s.useService(req, began.Service) {
		return newRefusal(http.StatusServiceUnavailable, "stream_unknown").withRetryAfter(s.retryDelay(req))
	}
	req.continuation = &continuation{softwareVersion: began.SoftwareVersion}
	return nil
}

// useService lets the request be served by the service at which its stream began. It returns
// false if the route does not lead there any more.
func (s *Server) useService(req *request, name string) bool {
	if name == req.service.Name {
		return true
	}
	if !slices.ContainsFunc(req.route.Targets, func(t routes.Target) bool { return t.Service == name && t.Weight > 0 }) {
		return false
	}
	req.service = req.table.Service(name)
	req.job = newJob(req)
	return true
}

// streamKey returns the key of the stream that the request begins or takes up.
func (req *request) streamKey() origin.Key {
	account := ""
	if req.account != nil {
		account = req.account.Name
	}
	if req.ResumeAfter > 0 {
		return origin.KeyOf(account, req.Resumes)
	}
	return origin.KeyOf(account, req.ID)
}

// streamLifetime returns the longest time for which a stream of the request's route goes on.
func (req *request) streamLifetime() time.Duration {
	if req.route.Timeout > 0 {
		return req.route.Timeout
	}
	return defaultTimeout
}

// versionSpan returns for how long one version alone must have served for a stream of the
// request's route to have begun at it: a gateway that has not learnt yet that a server has left
// lets streams begin there.
func (s *Server) versionSpan(req *request) time.Duration {
	return req.streamLifetime() + s.deps.Settings().Bounds.DrainPeriod
}

// named reports whether the stream of the request has a key of its own: it is new, or its caller
// names the request that began it.
func (req *request) named() bool { return req.ResumeAfter == 0 || req.Resumes != "" }

// recordOrigin records where the stream of the request began or goes on, and informs other
// gateways, so that its caller can take it up there.
func (s *Server) recordOrigin(req *request) {
	if req.originRecorded || !req.named() || req.continuation.softwareVersion == "" || !req.route.Idempotent() {
		return
	}
	req.originRecorded = true
	s.origins.Began(s.deps.Clock.Now(), origin.Report{
		Key: req.streamKey(), Origin: origin.Origin{Service: req.service.Name, SoftwareVersion: req.continuation.softwareVersion}, Keep: req.streamLifetime() + originMargin,
	})
	if s.deps.Origins != nil {
		s.deps.Origins.ReportOrigins()
	}
}

// OriginsChanged implements OriginExchange.
func (s *Server) OriginsChanged() <-chan struct{} { return s.origins.Changed() }

// OwnOriginReports implements OriginExchange.
func (s *Server) OwnOriginReports(now time.Time) []origin.Report { return s.origins.OwnReports(now) }

// TakeOriginReports implements OriginExchange.
func (s *Server) TakeOriginReports() []origin.Report { return s.origins.TakeReports() }

// ApplyOrigins implements OriginExchange.
func (s *Server) ApplyOrigins(now time.Time, reports []origin.Report) {
	s.origins.Apply(now, reports...)
}

// ApplyOriginAnswer implements OriginExchange.
func (s *Server) ApplyOriginAnswer(from string, a origin.Answer) { s.inquiries.answer(from, a) }

// AnswerOrigin implements OriginExchange.
func (s *Server) AnswerOrigin(now time.Time, q origin.Question) origin.Answer {
	if began, known := s.origins.Find(now, q.Key); known {
		return origin.Answer{Key: q.Key, Kind: origin.Recorded, Origin: began}
	}
	version, versions := s.deps.View.SoleVersion(q.Service, q.Span)
	switch versions {
	case directory.OneVersion:
		return origin.Answer{Key: q.Key, Kind: origin.OneVersion, Origin: origin.Origin{Service: q.Service, SoftwareVersion: version}}
	case directory.SeveralVersions:
		return origin.Answer{Key: q.Key, Kind: origin.SeveralVersions}
	default:
		return origin.Answer{Key: q.Key}
	}
}
