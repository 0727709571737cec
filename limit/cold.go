package limit

import (
	"slices"
	"time"

	"github.com/sesameswitch/sesameswitch/internal/mutation"
	"github.com/sesameswitch/sesameswitch/retry"
)

const (
	// coldMargin is subtracted from the burst of a cold server: requests that are sent at
	// different times may arrive in the same second.
	coldMargin = 1.0
	// warmStep is how long the limit continues after a server has ceased to be cold, at
	// warmStepFactor times the rate: otherwise all gateways, which see the server idle,
	// would choose it at the same time.
	warmStep       = time.Second
	warmStepFactor = 2.0
	// maxLendValid is how long after the question a borrowed token may be used at most.
	maxLendValid = 500 * time.Millisecond
	// holderBurst is the least burst of each of several holders, in addition to the tokens
	// that it may have lent: a holder that is full loses what accrues until it is asked
	// again. maxHolders limits the holders: each is asked in turn.
	holderBurst = 2.0
	maxHolders  = 8
	// wantInterval is the least time between two questions about one server.
	wantInterval = 50 * time.Millisecond
	// wantMemory is how long unmet demand is remembered. A gateway with unmet demand of its
	// own lends no tokens.
	wantMemory = 200 * time.Millisecond
	// maxQuestionTokens limits the tokens of one question, so that a rate of 50 per second
	// can be used by a single gateway with one question every wantInterval.
	maxQuestionTokens = 8
	// maxLoans limits the remembered answers of one server within lendValid.
	maxLoans = 64
	// maxColdServers limits the remembered cold servers. Those that ceased to be cold longer
	// than coldMemory ago make room for others.
	maxColdServers = 4096
	coldMemory     = time.Minute
	// wholeToken is the least number that counts as one token: the sum of many parts may be
	// slightly less than 1.
	wholeToken = 1 - 1e-9
)

// Guards that a test build can switch off.
const (
	// GuardColdStarting keeps a gateway that has just started from using a part of the rate.
	GuardColdStarting mutation.Guard = "limit.cold_starting"
	// GuardColdHolders limits the gateways that use a part of the rate.
	GuardColdHolders mutation.Guard = "limit.cold_holders"
	// GuardColdLent deducts a lent token from the tokens of the lender.
	GuardColdLent mutation.Guard = "limit.cold_lent"
	// GuardColdLoan keeps the room of a lent token free until the borrower can no longer
	// use it.
	GuardColdLoan mutation.Guard = "limit.cold_loan"
	// GuardColdExpiry ends the validity of borrowed tokens.
	GuardColdExpiry mutation.Guard = "limit.cold_expiry"
	// GuardColdQuestion measures the validity of a borrowed token from its own question.
	GuardColdQuestion mutation.Guard = "limit.cold_question"
)

// ColdBound is the bound on what a cold server receives from all gateways: in any second
// at most Rate*Excess + Extra requests.
type ColdBound struct {
	// Rate is in requests per second.
	Rate float64
	// Excess is a factor, Extra a number of requests.
	Excess, Extra float64
}

// burst returns the tokens of all gateways together at one moment. A server that may
// receive less than one request at a time could never be used.
func (b ColdBound) burst() float64 { return max(1, (b.Excess-1)*b.Rate+b.Extra-coldMargin) }

// lendValid returns how long after the question a borrowed token may be used. The tokens
// that accrue in this time are at most half of the burst that remains after one request:
// the lenders must leave room for them.
func (b ColdBound) lendValid() time.Duration {
	return min(maxLendValid, seconds((b.burst()-1)/(1.5*b.Rate)))
}

// holders returns how many of the gateways have a part of the rate. Each has a burst of at
// least one request, and as much more as its part of the rate yields within lendValid: a
// holder that has lent a token still counts it as room that it must not fill.
func (b ColdBound) holders(gateways int) int {
	if mutation.Off(GuardColdHolders) {
		return max(1, gateways)
	}
	return max(1, min(gateways, maxHolders, int(min((b.burst()-b.lendValid().Seconds()*b.Rate)/holderBurst, maxServerRate))))
}

// ColdChange is the effect of Servers.SetCold.
type ColdChange int

// Effects of SetCold. ColdIgnored: too many servers are cold, and this one is not limited.
const (
	ColdUnchanged ColdChange = iota
	ColdBegan
	ColdEnded
	ColdIgnored
)

// Question asks another gateway for tokens of a cold server.
type Question struct {
	// ID identifies the question among those of this gateway.
	ID int64
	// Tokens is the number of tokens that are wanted, at least 1.
	Tokens int
	// Holders is the number of gateways that have tokens: the first in the order of
	// Share.Position. Turn counts the questions: each goes to the next holder.
	Holders, Turn int
}

// coldServer is the state of a server that is or was cold.
type coldServer struct {
	bound ColdBound
	// until is when the server ceases to be cold.
	until time.Time
	// reported is true while the server counts in Servers.coldCount.
	reported bool
	// tokens is the number of requests that this gateway may send as a holder, as of
	// tokensAt.
	tokens   float64
	tokensAt time.Time
	// lent are the tokens that other gateways may be using, borrowed those that this one
	// may use, both in the order in which they expire.
	lent, borrowed []loan
	// asked are the questions whose answers may still be used.
	asked   []question
	askedAt time.Time
	turn    int
	// unmet is the number of requests since the last question that found no token or used a
	// borrowed one. The last request that found none was at unmetAt, the last one that
	// counts here at demandAt.
	unmet    int
	unmetAt  time.Time
	demandAt time.Time
}

// loan is a number of tokens that may be used until a time.
type loan struct {
	until  time.Time
	tokens int
}

// question is a question that was sent; tokens is how many it may still bring.
type question struct {
	id     int64
	at     time.Time
	tokens int
}

// SetCold records that a server is cold until the given time. A time that is not after now
// means that it is not cold. A server that is cold for the first time in its incarnation
// starts with one token for each holder, one that becomes cold again with none: it has just
// been sent requests without a limit.
func (l *Servers) SetCold(now time.Time, server retry.Incarnation, until time.Time, bound ColdBound) ColdChange {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.cold[server]
	wasCold := c != nil && c.until.After(now)
	if !until.After(now) || !(bound.Rate > 0) {
		if !wasCold {
			return ColdUnchanged
		}
		c.until = now
		return ColdEnded
	}
	switch {
	case wasCold:
		c.until, c.bound = until, bound
		return ColdUnchanged
	case c != nil:
		c.tokens, c.tokensAt, c.borrowed = 0, now, nil
	default:
		if len(l.cold) >= maxColdServers {
			l.removeWarm(now)
		}
		if len(l.cold) >= maxColdServers {
			return ColdIgnored
		}
		c = &coldServer{tokens: 1, tokensAt: now}
		l.cold[server] = c
	}
	c.until, c.bound = until, bound
	if !c.reported {
		c.reported = true
		l.coldCount.Add(1)
	}
	return ColdBegan
}

// removeWarm removes the servers that ceased to be cold more than coldMemory ago. The caller
// holds mu.
func (l *Servers) removeWarm(now time.Time) {
	for server, c := range l.cold {
		if !c.reported && now.Sub(c.until) > coldMemory {
			delete(l.cold, server)
		}
	}
}

// ColdSummary describes the cold servers.
type ColdSummary struct {
	// Cold is the number of servers that are cold now.
	Cold int
	// Warm are the servers whose limit has ended since the last call of SweepCold.
	Warm []retry.Incarnation
	// Expired is the number of borrowed tokens that were not used in time since then.
	Expired int
}

// SweepCold ends limits that are over, and returns what has changed since the last call.
func (l *Servers) SweepCold(now time.Time) ColdSummary {
	if l.coldCount.Load() == 0 {
		return ColdSummary{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var summary ColdSummary
	for server, c := range l.cold {
		l.expire(now, c)
		switch {
		case c.until.After(now):
			summary.Cold++
		case c.reported && !c.inEffect(now):
			c.reported = false
			l.coldCount.Add(-1)
			summary.Warm = append(summary.Warm, server)
		}
	}
	summary.Expired, l.expiredTokens = l.expiredTokens, 0
	return summary
}

// AnyCold reports whether some server is cold or was so until recently.
func (l *Servers) AnyCold() bool { return l.coldCount.Load() > 0 }

// HasToken reports whether this gateway may send a request to a server now, as far as the
// limit of cold servers is concerned.
func (l *Servers) HasToken(now time.Time, server retry.Incarnation, share Share) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.coldLimit(now, server)
	return c == nil || l.mayTake(now, c, share)
}

// coldLimit returns the limit of a cold server, or nil if it has none. The caller holds mu.
func (l *Servers) coldLimit(now time.Time, server retry.Incarnation) *coldServer {
	if c := l.cold[server]; c != nil && c.inEffect(now) {
		return c
	}
	return nil
}

// inEffect reports whether the limit applies.
func (c *coldServer) inEffect(now time.Time) bool { return now.Before(c.until.Add(warmStep)) }

// refill adds the tokens that have accrued to this gateway. It returns the tokens per
// second that do, zero if the gateway is no holder.
func (c *coldServer) refill(now time.Time, share Share) (rate float64) {
	holders := c.bound.holders(share.Gateways)
	if share.Position >= holders || share.Starting && !mutation.Off(GuardColdStarting) {
		c.tokens, c.tokensAt = 0, now
		return 0
	}
	burst := max(1, c.bound.burst()/float64(holders))
	rate = c.bound.Rate / float64(holders)
	for len(c.lent) > 0 && !now.Before(c.lent[0].until) {
		c.accrue(c.lent[0].until, rate, burst)
		c.lent = c.lent[1:]
	}
	c.accrue(now, rate, burst)
	if !now.Before(c.until) {
		rate *= warmStepFactor
	}
	return rate
}

// accrue adds the tokens until the given time. A lent token may be used at any time until
// its loan expires: if the holder filled its burst before that, the use would come in
// addition to the burst.
func (c *coldServer) accrue(to time.Time, rate, burst float64) {
	if to.After(c.tokensAt) {
		elapsed := to.Sub(c.tokensAt)
		warm := min(elapsed, max(0, to.Sub(c.until)))
		c.tokens += rate * ((elapsed - warm).Seconds() + warmStepFactor*warm.Seconds())
		c.tokensAt = to
	}
	for _, o := range c.lent {
		burst -= float64(o.tokens)
	}
	c.tokens = min(c.tokens, max(0, burst))
}

// expire removes the borrowed tokens that can no longer be used. The caller holds mu.
func (l *Servers) expire(now time.Time, c *coldServer) {
	for len(c.borrowed) > 0 && !now.Before(c.borrowed[0].until) && !mutation.Off(GuardColdExpiry) {
		l.expiredTokens += c.borrowed[0].tokens
		c.borrowed = c.borrowed[1:]
	}
}

// mayTake reports whether there is an own or a borrowed token. The caller holds mu.
func (l *Servers) mayTake(now time.Time, c *coldServer, share Share) bool {
	l.expire(now, c)
	return c.refill(now, share) > 0 && c.tokens >= wholeToken || len(c.borrowed) > 0
}

// take uses an own token or, if there is none, the borrowed one that expires first. The
// caller has called mayTake.
func (c *coldServer) take(now time.Time) {
	if c.tokens >= wholeToken {
		c.tokens--
		return
	}
	c.recordDemand(now)
	if c.borrowed[0].tokens--; c.borrowed[0].tokens == 0 {
		c.borrowed = c.borrowed[1:]
	}
}

// nextCold returns when the gateway may send the next request. A gateway that is no holder
// cannot know it; it should look again after the mean time between two tokens. The caller
// holds mu.
func (l *Servers) nextCold(now time.Time, c *coldServer, share Share) Allowance {
	available, rate := l.mayTake(now, c, share), c.refill(now, share)
	if rate == 0 {
		rate = c.bound.Rate
	}
	at := now
	if !available {
		at = now.Add(max(time.Nanosecond, seconds((1-c.tokens)/rate)))
	}
	return Allowance{Limited: true, At: at, ReturnAt: at, Interval: seconds(1 / rate)}
}

// recordDemand counts a request for which this gateway needs a token of another one.
func (c *coldServer) recordDemand(now time.Time) {
	if now.Sub(c.demandAt) > wantMemory {
		c.unmet = 0
	}
	c.unmet, c.demandAt = min(c.unmet+1, maxQuestionTokens), now
}

// Want records that a request would have been sent to a cold server if there had been a
// token. It returns what Ask returns.
func (l *Servers) Want(now time.Time, server retry.Incarnation, share Share) (Question, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.coldLimit(now, server)
	if c == nil {
		return Question{}, false
	}
	c.recordDemand(now)
	c.unmetAt = now
	return c.ask(now, share)
}

// Ask returns the question that should be sent now, and false if there should be none. Call
// it after Take: a request that used a borrowed token shows that there is demand for the
// next one. At most one question is sent in wantInterval.
func (l *Servers) Ask(now time.Time, server retry.Incarnation, share Share) (Question, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.coldLimit(now, server)
	if c == nil {
		return Question{}, false
	}
	return c.ask(now, share)
}

// ask returns the question that should be sent now.
func (c *coldServer) ask(now time.Time, share Share) (Question, bool) {
	if c.unmet == 0 || share.Gateways <= 1 || now.Sub(c.askedAt) < wantInterval {
		return Question{}, false
	}
	c.asked = slices.DeleteFunc(c.asked, func(q question) bool { return now.Sub(q.at) >= c.bound.lendValid() })
	q := question{id: now.UnixMicro(), at: now, tokens: c.unmet}
	c.asked, c.askedAt, c.unmet = append(c.asked, q), now, 0
	c.turn++
	return Question{ID: q.id, Tokens: q.tokens, Holders: c.bound.holders(share.Gateways), Turn: c.turn + share.Position}, true
}

// Lend returns how many tokens this gateway gives away, of those for which another one
// asked. They count as used.
func (l *Servers) Lend(now time.Time, server retry.Incarnation, share Share, wanted int) (tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.coldLimit(now, server)
	if c == nil || c.refill(now, share) == 0 || now.Sub(c.unmetAt) < wantMemory || len(c.lent) >= maxLoans {
		return 0
	}
	tokens = min(wanted, maxQuestionTokens, int(c.tokens+1-wholeToken))
	if tokens <= 0 {
		return 0
	}
	if !mutation.Off(GuardColdLent) {
		c.tokens -= float64(tokens)
	}
	if !mutation.Off(GuardColdLoan) {
		c.lent = append(c.lent, loan{now.Add(c.bound.lendValid()), tokens})
	}
	return tokens
}

// Borrowed records the answer to a question. It returns how many tokens this gateway got:
// none if the question was asked too long ago or was already answered.
func (l *Servers) Borrowed(now time.Time, server retry.Incarnation, id int64, tokens int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.coldLimit(now, server)
	if c == nil {
		return 0
	}
	for i := range c.asked {
		q := &c.asked[i]
		if mutation.Off(GuardColdQuestion) {
			q = &c.asked[len(c.asked)-1]
		}
		if q.id != id && !mutation.Off(GuardColdQuestion) || now.Sub(q.at) >= c.bound.lendValid() && !mutation.Off(GuardColdExpiry) {
			continue
		}
		tokens = min(tokens, q.tokens)
		if tokens <= 0 {
			return 0
		}
		q.tokens -= tokens
		c.borrowed = append(c.borrowed, loan{q.at.Add(c.bound.lendValid()), tokens})
		slices.SortFunc(c.borrowed, func(a, b loan) int { return a.until.Compare(b.until) })
		return tokens
	}
	l.expiredTokens += max(0, tokens)
	return 0
}
