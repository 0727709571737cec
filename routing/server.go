package routing

import (
	"container/list"
	"time"
)

// maxCachedParts bounds what is remembered of one server's cache; engines hold
// a few hundred parts.
const maxCachedParts = 2048

// serverModel is what a gateway knows of one server, from what it sent and saw.
type serverModel struct {
	// parts holds the parts expected in the server's cache by id; order has
	// the least recently used at its back.
	parts  map[string]*list.Element
	order  *list.List
	cached int
	// open and held count this gateway's requests and the tokens that each of
	// them does not share.
	open int
	held int
	// unread are the prompt tokens of open requests without a first event.
	unread int
	// tight are the open streams with the shortest pauses.
	tight int

	// sent are the decayed prompt tokens that this gateway sent there lately.
	sent   float64
	sentAt time.Time

	reportedAt time.Time
	// reported is how many requests of others the server's last report implied.
	reported int
	// others is what other gateways said that they hold there.
	others map[string]hinted
	// left are the tokens that ended requests left there since the last hints.
	left int
	// fresh are the parts that this gateway sent there since its last hints.
	fresh []Segment
	// told says that the last hints named the server.
	told bool
	// memory is how many tokens the server holds in all; zero is unknown.
	memory int

	failures   float64
	failuresAt time.Time
	slow       float64
	slowAt     time.Time
}

type cachedPart struct {
	id     string
	tokens int
	// read says that the server has read the part; before, it is on its way.
	read bool
}

func (p *Scheduler) model(id string) *serverModel {
	m := p.servers[id]
	if m == nil {
		m = &serverModel{parts: make(map[string]*list.Element), order: list.New(), slow: 1, others: make(map[string]hinted)}
		p.servers[id] = m
	}
	return m
}

// uncached returns how many tokens of the job's prompt the server must read.
// Where assumed is true the first part counts as there.
func (m *serverModel) uncached(j *Job, assumed bool) int {
	left := j.PromptTokens
	for i, part := range j.Segments {
		if m.parts[part.ID] == nil && (!assumed || i > 0) {
			break
		}
		left -= part.Tokens
	}
	return max(0, left)
}

// readTokens returns how many tokens of the job's prompt the server has read
// already, from its begin.
func (m *serverModel) readTokens(j *Job) int {
	held := 0
	for _, part := range j.Segments {
		e := m.parts[part.ID]
		if e == nil || !e.Value.(*cachedPart).read {
			break
		}
		held += part.Tokens
	}
	return held
}

// remember notes that the server reads the parts of a prompt. memory is how many
// tokens it holds in all.
func (m *serverModel) remember(now time.Time, parts []Segment, memory int) {
	held := m.load(now).held
	for _, part := range parts {
		if part.Retracted {
			m.forget(part.ID)
			continue
		}
		if e := m.parts[part.ID]; e != nil {
			held := e.Value.(*cachedPart)
			held.read = held.read || part.Prefilled
			m.order.MoveToFront(e)
			continue
		}
		m.parts[part.ID] = m.order.PushFront(&cachedPart{id: part.ID, tokens: part.Tokens, read: part.Prefilled})
		m.cached += part.Tokens
	}
	m.evictOver(held, memory)
}

// evictOver forgets parts until the rest fits into the memory.
func (m *serverModel) evictOver(held, memory int) {
	for m.order.Len() > maxCachedParts || memory > 0 && m.cached+held > memory && m.order.Len() > 0 {
		m.evict()
	}
}

// leave notes tokens that ended requests left in the server's memory: no other
// request shares them, but they push out parts that were used before.
func (m *serverModel) leave(now time.Time, tokens int) {
	if tokens <= 0 {
		return
	}
	m.order.PushFront(&cachedPart{tokens: tokens})
	m.cached += tokens
	m.evictOver(m.load(now).held, m.memory)
}

// evict forgets the part that was used least recently.
func (m *serverModel) evict() {
	last := m.order.Back()
	part := last.Value.(*cachedPart)
	m.order.Remove(last)
	if part.id != "" {
		delete(m.parts, part.id)
	}
	m.cached -= part.tokens
}

// load is what a server holds.
type load struct {
	open, held, unread int
	// tight are the open streams with the shortest pauses.
	tight int
}

// load returns what all gateways together hold at the server, as far as this
// one knows.
func (m *serverModel) load(now time.Time) load {
	l := load{open: m.open, held: m.held, unread: m.unread, tight: m.tight}
	for _, h := range m.others {
		if now.Before(h.until) {
			l.open += h.InFlight
			l.held += h.UnsharedTokens
			l.unread += h.PendingPrefill
			l.tight += h.LatencySensitive
		}
	}
	if now.Sub(m.reportedAt) < reportMemory {
		l.open = max(l.open, m.open+m.reported)
	}
	return l
}

// failuresNow is the share of requests that the server fails beyond what is
// usual for their kinds.
func (m *serverModel) failuresNow(now time.Time) float64 {
	return max(0, m.failures) * halfLife(now.Sub(m.failuresAt), failureMemory)
}

// slowNow is how many times longer the server takes than others.
func (m *serverModel) slowNow(now time.Time) float64 {
	return 1 + (m.slow-1)*halfLife(now.Sub(m.slowAt), slowMemory)
}

// Result is how a sent request ended.
type Result string

// Results.
const (
	// Succeeded means that the whole answer came.
	Succeeded Result = "succeeded"
	// Failed means that the server failed it.
	Failed Result = "failed"
	// Refused means that the server did not run it.
	Refused Result = "refused"
	// Cancelled means that nobody waited for it any more.
	Cancelled Result = "cancelled"
	// Unreachable means that it could not be sent.
	Unreachable Result = "unreachable"
	// LimitReached means that this gateway has too much at the server already.
	LimitReached Result = "full"
)

// Attempt follows one request at a server. It is used by one goroutine.
type Attempt struct {
	placer   *Scheduler
	job      *Job
	server   string
	sent     time.Time
	uncached int
	expected float64
	tokens   int
	reading  bool
	tight    bool
	fetched  bool
	ended    bool
	// brought are the parts that the server was not known to hold before.
	brought []Segment
	begun   bool
}

// StartAttempt notes that a job goes to the chosen server.
func (p *Scheduler) StartAttempt(now time.Time, j *Job, server string, c Choice) *Attempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.model(server)
	t := &Attempt{
		placer: p, job: j, server: server, sent: now, uncached: c.UncachedTokens, expected: c.ServiceTime + c.Wait,
		tokens: j.ownTokens() + j.OutputTokens, reading: j.Generates, fetched: c.TransferSource != "",
	}
	m.open++
	if !j.Generates {
		return t
	}
	m.held += t.tokens
	m.unread += c.UncachedTokens
	m.sent = m.sentLately(now) + float64(c.UncachedTokens)
	m.sentAt = now
	m.memory = j.KVCacheTokens
	for _, part := range j.Segments {
		if m.parts[part.ID] == nil {
			t.brought = append(t.brought, part)
		}
	}
	m.fresh = append(m.fresh, j.Segments...)
	m.remember(now, j.Segments, j.KVCacheTokens)
	service := p.service(j.Service)
	if t.tight = service.tight(j); t.tight {
		m.tight++
	}
	service.addDemand(now, t.tight, float64(j.ownTokens()))
	return t
}

// FirstEvent notes the first event of an answer.
func (t *Attempt) FirstEvent(now time.Time) {
	t.placer.mu.Lock()
	defer t.placer.mu.Unlock()
	m := t.placer.model(t.server)
	t.begun = true
	t.read(m)
	t.noteRead(now, m)
	took := milliseconds(now.Sub(t.sent))
	service := t.placer.service(t.job.Service)
	if t.uncached > minPaceSample && m.load(now).open == 1 {
		service.addPace(float64(t.uncached) / max(1, took-firstEventBase))
	}
	m.addSlow(now, took, t.expected+firstEventBase)
}

const (
	// minPaceSample is the least prompt that shows the reading pace.
	minPaceSample = 2000
	// paceOutlier is how many times the known pace an observation may be off.
	paceOutlier = 1.5
	// firstEventBase is the time to a first event with nothing to read, in
	// milliseconds: transit and a few steps.
	firstEventBase = 25.0
)

// addPace takes in an observed reading pace. One far from what is known tells of
// parts that were in the cache, or of others' prompts, not of the engine.
func (s *serviceModel) addPace(pace float64) {
	if pace < s.readPace/paceOutlier || pace > s.readPace*paceOutlier {
		return
	}
	s.readPace += placerPaceGain * (pace - s.readPace)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// addSlow takes in how long the server took against what was expected.
func (m *serverModel) addSlow(now time.Time, took, expected float64) {
	ratio := min(maxSlow, max(1, took/max(1, expected)/slowTolerance))
	m.slow = m.slowNow(now)
	m.slow += slowGain * (ratio - m.slow)
	m.slowAt = now
}

// slowTolerance is how many times the expected time is still usual.
const slowTolerance = 2.0

// takeBack forgets the parts that the server was sent and did not read.
func (t *Attempt) takeBack(m *serverModel) {
	for _, part := range t.brought {
		if m.forget(part.ID) {
			part.Retracted = true
			m.fresh = append(m.fresh, part)
		}
	}
}

// forget drops a part that was sent and not read yet.
func (m *serverModel) forget(id string) bool {
	e := m.parts[id]
	if e == nil || e.Value.(*cachedPart).read {
		return false
	}
	m.order.Remove(e)
	m.cached -= e.Value.(*cachedPart).tokens
	delete(m.parts, id)
	return true
}

// noteRead notes that the server holds the parts of the prompt now.
func (t *Attempt) noteRead(now time.Time, m *serverModel) {
	if len(t.job.Segments) == 0 || t.job.PromptTokens-t.uncached >= t.job.PromptTokens-t.job.ownTokens() && !t.fetched {
		return // it held them before
	}
	parts := make([]Segment, len(t.job.Segments))
	for i, part := range t.job.Segments {
		parts[i] = part
		parts[i].Prefilled = true
	}
	m.remember(now, parts, t.job.KVCacheTokens)
	m.fresh = append(m.fresh, parts...)
}

// read takes the job out of the prompts that wait.
func (t *Attempt) read(m *serverModel) {
	if t.reading {
		t.reading = false
		m.unread = max(0, m.unread-t.uncached)
	}
}

// Ended notes the end of the request.
func (t *Attempt) Ended(now time.Time, result Result) {
	t.placer.mu.Lock()
	defer t.placer.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	m := t.placer.model(t.server)
	t.read(m)
	m.open = max(0, m.open-1)
	if t.job.Generates {
		m.held = max(0, m.held-t.tokens)
		if t.begun {
			m.left += t.tokens
			m.leave(now, t.tokens)
		}
	}
	if t.tight {
		m.tight = max(0, m.tight-1)
	}
	if !t.begun && (result == Refused || result == Unreachable || result == LimitReached) {
		t.takeBack(m)
	}
	service := t.placer.service(t.job.Service)
	switch result {
	case Succeeded:
		t.succeeded(now, m, service)
	case Failed, Unreachable:
		m.addFailure(now, 1-service.failuresByKind[t.job.Route])
		if result == Failed {
			service.addFailure(t.job.Route, 1)
		}
	case Refused:
		m.addFailure(now, refusalWeight)
	case Cancelled, LimitReached:
	}
}

const (
	// refusalWeight is what a refusal counts against a failure: the server is
	// full or leaving, and the request can go elsewhere.
	refusalWeight = 0.5
	// kindFailureGain is the weight of one outcome for the usual share of
	// failures of a kind.
	kindFailureGain = 0.02
)

func (t *Attempt) succeeded(now time.Time, m *serverModel, service *serviceModel) {
	m.addFailure(now, 0)
	service.addFailure(t.job.Route, 0)
	if t.job.Generates {
		return
	}
	took := milliseconds(now.Sub(t.sent))
	m.addSlow(now, took, t.expected)
	work, seen := service.workByKind[t.job.Route]
	if !seen {
		work = plainWork
	}
	service.workByKind[t.job.Route] = work + kindWorkGain*(min(took, workOutlier*work)-work)
}

const (
	// kindWorkGain is the weight of one observation of a kind's time.
	kindWorkGain = 0.05
	// workOutlier bounds one observation, in times of the mean.
	workOutlier = 4.0
)

func (m *serverModel) addFailure(now time.Time, failed float64) {
	m.failures = m.failuresNow(now)
	m.failures += failureGain * (failed - m.failures)
	m.failuresAt = now
}

func (s *serviceModel) addFailure(kind string, failed float64) {
	s.failuresByKind[kind] += kindFailureGain * (failed - s.failuresByKind[kind])
}

// ReportLoad takes in a server's own figures of its running and waiting requests.
func (p *Scheduler) ReportLoad(now time.Time, server string, running, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.model(server)
	m.reportedAt = now
	m.reported = max(0, running+waiting-m.open)
}
