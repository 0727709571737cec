package routing

import (
	"sync"
	"time"
)

// A Placer chooses among backend servers that many gateways reach directly. It
// is made for this load pattern: long prompts that share their first parts,
// beside streams that must not pause, in bursts, with each gateway seeing its
// own part of the traffic only.
//
// A caller may rely on Choose agreeing with other gateways on where a shared
// part lives while they know the same servers, without talk; on a part moving
// only when its server comes or goes; and on some server being chosen whenever
// one is not excluded.

const (
	// defaultReadPace is how many prompt tokens an engine reads in a
	// millisecond until its own answers tell; that of a current engine.
	defaultReadPace = 60.0
	// placerPaceGain is the weight of one observation of the reading pace.
	placerPaceGain = 0.1
	// waitingShare is how much the prompt tokens that wait at a server delay a
	// new request: they are read in turns, not one prompt after the other.
	waitingShare = 1.0
	// runShare is the part of a server's memory that the tokens of running
	// requests which nothing else shares may hold; the rest is for shared parts,
	// which must not be pushed out and read again: with prompts of which a fifth
	// is their own, running requests hold several times as much shared.
	runShare = 0.14
	// readAhead is how much of prompts may wait at an engine, in milliseconds of
	// its reading; more waits at the gateways, where the most urgent goes first
	// and nothing holds memory.
	readAhead = 250.0
	// rankShare is how much less of it each rank of urgency may use, so that more
	// urgent requests find room.
	rankShare = 0.03
	// memoryCost weighs tokens that do not fit against tokens to be read: a
	// running request must end, or be read in again, before there is room.
	memoryCost = 2.0
	// againCost is what reading a shared part again that another server holds
	// counts besides the time of the request itself: it delays all others there
	// and pushes out what they have cached.
	againCost = 6.0
	// minFetchTokens is the least that is fetched from another server's memory.
	minFetchTokens = 2000
	// fetchSetup is the time to begin a fetch, in milliseconds.
	fetchSetup = 5.0
	// fetchCost is what a gigabyte that is fetched counts, in milliseconds: it
	// is priced.
	fetchCost = 100.0
	// goalShare is the part of the goal from which on a delay counts in full: the
	// estimate is a mean, and answers spread around it.
	goalShare = 0.4
	// minUrgency and maxUrgency bound how a delay counts.
	minUrgency = 0.2
	maxUrgency = 2.0
	// againWait is the usual wait at the servers, in milliseconds, at which it
	// counts once more: the longer all wait, the less may be read twice.
	againWait = 30.0
	// openCost is what each open request at an engine adds to the time of a new
	// one, in milliseconds: a larger batch makes its few steps a little longer.
	openCost = 0.5
	// remoteCost is what a server in another data centre counts more, in
	// milliseconds: bytes between data centres are priced.
	remoteCost = 20.0
	// crossingCost is what a server of the other pool counts more, in
	// milliseconds: a long prompt beside a stream delays its next event.
	crossingCost = 60.0
	// harmCost is what a stream counts that pauses too long, in milliseconds.
	harmCost = 100.0
	// maxHarm bounds it for all streams together: where every server has many,
	// moving a prompt away from its cached parts harms as many elsewhere.
	maxHarm = 800.0
	// harmfulRead is how long prompts must be read without a break for the
	// pauses beside them to become too long, in milliseconds: a few steps of an
	// engine, each with a chunk of a prompt, for the tokens of one event.
	harmfulRead = 150.0
	// failureCost is what a server counts more that fails each request, in
	// milliseconds: a failed request is worth nothing, however early.
	failureCost = 4000.0
	// failureMemory is the half-life of observed failures.
	failureMemory = 3 * time.Second
	// failureGain is the weight of one outcome.
	failureGain = 0.3
	// slowMemory is the half-life of an observed slowness.
	slowMemory = 4 * time.Second
	slowGain   = 0.25
	maxSlow    = 30.0
	// reportMemory is how long a server's own figures count.
	reportMemory = 700 * time.Millisecond
	// demandMemory is the half-life of the demand that sizes the pools.
	demandMemory = 4 * time.Second
	// tightFactor separates the streams with the shortest pauses from others.
	tightFactor = 1.2
	// priorTightShare is the tight streams' share of the demand until some was
	// seen.
	priorTightShare = 0.22
	// minPoolServers is the least number of servers with which pools are kept.
	minPoolServers = 4
	// tightNeed is how many servers tight streams need against others for the
	// same tokens: their prompts are short, so one server carries more of them
	// before pauses grow.
	tightNeed = 0.75
	// maxTightShare bounds the pool of the tight streams; the others must have
	// room for their cached parts.
	maxTightShare = 0.34
	// plainWork is the time of a request at a plain service until answers tell.
	plainWork = 60.0
)

// Segment is one part of a prompt.
type Segment struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // it tells the codec to leave names out
	ID       string
	Tokens   int
	// Prefilled says that a server has read it; otherwise it was only sent there.
	Prefilled bool
	// Retracted says that a server did not read it after all.
	Retracted bool
}

// Job is what the choice of a server depends on.
type Job struct {
	// Route names requests of the same sort: the route.
	Route string
	// Service is where it is sent.
	Service string
	// Generates says that an engine reads a prompt for it.
	Generates bool
	// Rank is 0 for the most urgent, 9 for the least.
	Rank int
	// Segments are the parts of its prompt that other requests may share, in
	// order.
	Segments []Segment
	// PromptTokens is the length of the whole prompt.
	PromptTokens int
	// OutputTokens is the expected length of the answer.
	OutputTokens int
	// LatencyTarget is the time to the answer or its first event; zero is no goal.
	LatencyTarget time.Duration
	// MaxEventGap is the longest pause between events; zero is no goal.
	MaxEventGap time.Duration
	// KVCacheTokens is what one server of the service holds.
	KVCacheTokens int
	// TransferRate is how many tokens a millisecond one server can fetch from
	// another's memory; zero is none.
	TransferRate float64
	// TokenBytes is the memory of one token.
	TokenBytes float64
}

// ownTokens is the part of the prompt that no other request shares.
func (j *Job) ownTokens() int {
	own := j.PromptTokens
	for _, part := range j.Segments {
		own -= part.Tokens
	}
	return max(0, own)
}

// overMemory is how many tokens too much a server would hold with the job.
func (j *Job) overMemory(held int) float64 {
	if j.KVCacheTokens == 0 {
		return 0
	}
	room := runShare * (1 - rankShare*float64(j.Rank)) * float64(j.KVCacheTokens)
	return max(0, float64(held+j.ownTokens()+j.OutputTokens)-room)
}

// Server is a candidate.
type Server struct {
	ID         string
	DataCentre string
	Slots      int
}

// Choice is the chosen server with what decided it, all in milliseconds.
type Choice struct {
	Index int
	Cost  float64
	// ServiceTime is the time to read the part of the prompt that is not cached.
	ServiceTime float64
	// Wait is the time for what is before it.
	Wait float64
	// Penalty is for distance, the other pool and failures.
	Penalty float64
	// UncachedTokens is how many tokens are expected to be read.
	UncachedTokens int
	// Full says that the server has no room for the job at its rank: running
	// requests hold too much of its memory, or too many prompts wait there.
	Full bool
	// TransferSource is the id of the server from whose memory shared parts are
	// fetched; empty is none.
	TransferSource string
}

// Scheduler holds what a gateway knows of the servers. It is safe for concurrent
// use.
type Scheduler struct {
	mu         sync.Mutex
	dataCentre string
	servers    map[string]*serverModel
	services   map[string]*serviceModel
	// peers is until when each other gateway's hints count.
	peers  map[string]time.Time
	policy Policy
}

// NewScheduler returns a placer of a gateway in the data centre.
func NewScheduler(dataCentre string) *Scheduler {
	return &Scheduler{
		dataCentre: dataCentre, servers: make(map[string]*serverModel), services: make(map[string]*serviceModel),
		peers: make(map[string]time.Time),
	}
}

// SetPolicy replaces the policy. PolicyLeast takes the server with the fewest open
// requests that the gateway knows of and never says that one is full: a baseline
// to compare with. Any other stands for the estimated cost.
func (p *Scheduler) SetPolicy(policy Policy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.policy = policy
}

// serviceModel is what was seen of a service as a whole.
type serviceModel struct {
	// readPace is the prompt tokens read in a millisecond.
	readPace float64
	// workByKind is the mean time of a request in milliseconds.
	workByKind map[string]float64
	// failuresByKind is the share of requests that fail anywhere.
	failuresByKind map[string]float64
	// pauses are the pause goals of all kinds that are sent to it.
	pauses map[string]time.Duration
	// demand are the decayed prompt tokens that no cache saves, by pool.
	demand   [2]float64
	demandAt time.Time
}

func (p *Scheduler) service(name string) *serviceModel {
	s := p.services[name]
	if s == nil {
		s = &serviceModel{
			readPace:       defaultReadPace,
			workByKind:     make(map[string]float64),
			failuresByKind: make(map[string]float64),
			demand:         [2]float64{1 - priorTightShare, priorTightShare},
		}
		p.services[name] = s
	}
	return s
}

// SetEventGapTargets replaces the pause goals of each service by kind.
func (p *Scheduler) SetEventGapTargets(goals map[string]map[string]time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, byKind := range goals {
		p.service(name).pauses = byKind
	}
}

// tight reports whether the job belongs to the streams with the shortest
// pauses among several kinds.
func (s *serviceModel) tight(j *Job) bool {
	if j.MaxEventGap == 0 {
		return false
	}
	least, most := j.MaxEventGap, j.MaxEventGap
	for _, pause := range s.pauses {
		least, most = min(least, pause), max(most, pause)
	}
	limit := time.Duration(tightFactor * float64(least))
	return j.MaxEventGap <= limit && most > limit
}

// Choose returns the server with the least expected cost among those that are
// not excluded; ok is false when there is none.
func (p *Scheduler) Choose(now time.Time, j *Job, servers []Server, excluded map[string]bool) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.policy == PolicyLeastRequests {
		return p.leastOpen(now, j, servers, excluded)
	}
	service := p.service(j.Service)
	tight := service.tight(j)
	tightServers := service.tightServers(len(servers))
	pool := poolOf(servers, tightServers)
	tight = tight && tightServers > 0
	home, held := p.readings(j, servers, pool, tight)
	held.usualWait = p.usualWait(now, service, servers)
	held.peers = p.livePeers(now)
	best := Choice{Index: -1}
	for i := range servers {
		if excluded[servers[i].ID] {
			continue
		}
		c := p.weigh(now, j, service, &servers[i], i == home, tight, held)
		if pool[i] != tight && j.Generates {
			c.Penalty += crossingCost
		}
		c.Cost = urgencyOf(j, c.ServiceTime+c.Wait) + c.Penalty
		c.Index = i
		if best.Index < 0 || c.Cost < best.Cost {
			best = c
		}
	}
	return best, best.Index >= 0
}

// leastOpen is the choice of PolicyLeast.
func (p *Scheduler) leastOpen(now time.Time, j *Job, servers []Server, excluded map[string]bool) (Choice, bool) {
	best := Choice{Index: -1}
	for i := range servers {
		if excluded[servers[i].ID] {
			continue
		}
		m := p.model(servers[i].ID)
		if open := float64(m.load(now).open); best.Index < 0 || open < best.Cost {
			best = Choice{Index: i, Cost: open, UncachedTokens: m.uncached(j, false)}
		}
	}
	return best, best.Index >= 0
}

// urgencyOf weighs a time to the answer against the job's goal: far below it a
// delay costs nobody anything, near it the answer may come late.
func urgencyOf(j *Job, expected float64) float64 {
	if j.LatencyTarget == 0 {
		return expected
	}
	share := expected / (goalShare * milliseconds(j.LatencyTarget))
	return expected * min(maxUrgency, max(minUrgency, share))
}

// weigh estimates the job's cost at one server.
func (p *Scheduler) weigh(now time.Time, j *Job, service *serviceModel, s *Server, assumed, tight bool, h holder) Choice {
	m := p.model(s.ID)
	l := m.load(now)
	c := Choice{}
	if j.Generates {
		c.UncachedTokens = m.uncached(j, false)
		read := m.uncached(j, assumed)
		c.ServiceTime = float64(read) / service.readPace
		again := (againCost + h.usualWait/againWait) * float64(max(0, read-h.least)) / service.readPace
		if fetch, saved := m.fetchTime(j, s, &h); saved > 0 && fetch < again+float64(saved)/service.readPace {
			c.TransferSource = h.server
			c.UncachedTokens = max(0, c.UncachedTokens-saved)
			c.ServiceTime = float64(c.UncachedTokens) / service.readPace
			again = fetch
		}
		c.Penalty += again
		c.Wait = waitingShare*float64(l.unread)/service.readPace + openCost*float64(l.open)
		over := j.overMemory(l.held)
		ahead := readAhead * (1 - rankShare*float64(j.Rank))
		c.Full = over > 0 || (float64(l.unread)+float64(h.peers)*m.sentLately(now))/service.readPace > ahead
		c.Wait += memoryCost * over / service.readPace
		c.Penalty += harm(l, tight, c.ServiceTime, service)
	} else {
		work := service.workOf(j.Route) * m.slowNow(now)
		slots := float64(max(1, s.Slots))
		c.ServiceTime = work
		c.Wait = work * (max(0, float64(l.open+1)-slots)/slots + float64(l.open)/slots/2)
	}
	c.Penalty += failureCost * m.failuresNow(now)
	if s.DataCentre != p.dataCentre {
		c.Penalty += remoteCost
	}
	return c
}

func (s *serviceModel) workOf(kind string) float64 {
	if work, ok := s.workByKind[kind]; ok {
		return work
	}
	return plainWork
}

// harm is what streams that must not pause lose when a long prompt is read
// beside them: those that are open at the server, or the job itself.
func harm(l load, tight bool, read float64, service *serviceModel) float64 {
	waiting := float64(l.unread) / service.readPace
	if tight {
		return harmCost * min(1, waiting/harmfulRead)
	}
	return min(maxHarm, harmCost*float64(l.tight)*min(1, (read+waiting)/harmfulRead))
}

// RemoveServer drops what is known of servers that are gone.
func (p *Scheduler) RemoveServer(gone string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.servers, gone)
}
