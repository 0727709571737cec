package limit

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sesameswitch/sesameswitch/retry"
)

const (
	// minServerRate and maxServerRate bound the rate that a backend server states, in
	// requests per second. A server that is never sent a request cannot raise its
	// limit.
	minServerRate = 0.05
	maxServerRate = 1e6
	// maxLimitedServers limits the servers whose limits are remembered.
	maxLimitedServers = 4096
	// limitHold is how long a limit that no response has stated again is remembered if
	// there are maxLimitedServers.
	limitHold = 10 * time.Minute
	// limitEndHold is the least time since the last response that stated a limit after
	// which a response without one may end it.
	limitEndHold = 4 * time.Second
	// limitEndResponses is how many responses in a row must state no limit to end it.
	limitEndResponses = 2
	// extraHolders is the number of gateways that may all use a limit in addition to one
	// for each request per second that it allows. If there are more gateways, probeReserve
	// fewer use it: the others send requests to find out whether it still holds.
	extraHolders = 4
	probeReserve = 2
	// The bursts of all gateways together are burstSeconds of the limited rate, and
	// extraBurst requests, or one fewer if there are gateways without a share. Each holder
	// has a burst of at least one request.
	burstSeconds = 1.25
	extraBurst   = 4.0
	// silence is how long a gateway that is no holder must have heard nothing of a limit
	// before it sends a request to find out whether the limit still holds. The gateways
	// that are no holders do so one after another, each within probeInterval.
	silence       = 15 * time.Second
	probeInterval = 4 * time.Second
	// reportAge is how long what this gateway learnt from a response is reported to
	// other gateways; maxReportAge bounds the age of what they report.
	reportAge    = 8 * time.Second
	maxReportAge = time.Minute
)

// Share determines which part of a server's limit a gateway may use.
type Share struct {
	// Gateways is the number of gateways that share the limit.
	Gateways int
	// Position is the position of this gateway, from 0, in an order of the gateways that
	// is the same for all of them.
	Position int
	// Starting reports whether this gateway has started so recently that it may not know
	// all other gateways, and that tokens which it took before a restart may still be in
	// use. It then has no part of the rate of a cold server.
	Starting bool
}

// Allowance states when a gateway may send the next request to a server.
type Allowance struct {
	// Limited reports whether the server has a limit; if it has none, the other fields
	// are zero.
	Limited bool
	// At is when this gateway may send the next request.
	At time.Time
	// ReturnAt is when a caller that returns to any gateway may be served.
	ReturnAt time.Time
	// Interval is the mean time between two requests.
	Interval time.Duration
}

// Report is what a gateway learnt about the limit of a server from its own responses.
type Report struct {
	Server retry.Incarnation
	// Rate is the limit in requests per second; zero if it has ended.
	Rate float64
	// Age is the time since the response.
	Age time.Duration
}

// Servers holds the rates to which backend servers limit all gateways together, and
// this gateway's share of them. It also limits what cold servers receive: those that have
// started, or were without traffic, and would crash under a normal load. It is safe for
// concurrent use.
//
// Callers may assume this bound while all gateways that know a limit of r requests per
// second agree on their number and order, and the limit does not change: together they
// are allowed at most r*t + burstSeconds*r + extraBurst requests in any time t, for any
// number of gateways and any distribution of the requests among them, apart from the
// requests of gateways that have heard nothing of the limit for at least silence. A
// limit holds from the response that states it until several later responses of the
// same incarnation state none, or until another gateway reports that it has changed or
// ended. Without such reports a gateway learns of a change by its own responses only.
//
// Only some gateways, the holders, use a limit: if each of many gateways could send a
// single request at any time, they could send all of these at once.
//
// Callers may assume that a server which all gateways that know it regard as cold is allowed at
// most Rate*Excess + Extra requests in any second (ColdBound), as long as these gateways
// agree on their order and Share.Starting is set for at least lendValid and a second after
// a start, whatever is lost, delayed or partitioned between them. Holders that do not use
// their tokens lend them to gateways that ask. A lost message leaves a token unused.
type Servers struct {
	mu      sync.Mutex
	servers map[retry.Incarnation]*serverLimit
	// limited is the number of servers with a limit.
	limited int
	// cold holds the cold servers; coldCount is the number of those whose limit has not
	// been found to be over.
	cold      map[retry.Incarnation]*coldServer
	coldCount atomic.Int64
	// expiredTokens counts borrowed tokens that were not used in time.
	expiredTokens int
}

// serverLimit is what is known of the limit of one server.
type serverLimit struct {
	// rate is in requests per second; zero if there is no limit.
	rate float64
	// statedAt is when a response last stated the limit.
	statedAt time.Time
	// learntAt is when a response last stated the limit or ended it, ownAt the same for
	// the responses to this gateway.
	learntAt, ownAt time.Time
	// without counts the responses since then that stated none.
	without int
	// heardAt is when a response last stated whether there is a limit, or a request was
	// sent to find out.
	heardAt time.Time
	// tokens is the number of requests that may be sent, as of tokensAt.
	tokens   float64
	tokensAt time.Time
}

// NewServers returns a Servers without limits.
func NewServers() *Servers {
	return &Servers{servers: make(map[retry.Incarnation]*serverLimit), cold: make(map[retry.Incarnation]*coldServer)}
}

// Stated records that a response stated a limit, in requests per second. It returns
// the limit in effect, and whether it has changed.
func (l *Servers) Stated(now time.Time, server retry.Incarnation, perSecond float64) (rate float64, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.server(now, server)
	if s == nil {
		return 0, false
	}
	s.ownAt = now
	return l.set(now, s, perSecond, now)
}

// server returns the state of a server, or nil if there are too many. The caller holds
// mu.
func (l *Servers) server(now time.Time, server retry.Incarnation) *serverLimit {
	s := l.servers[server]
	if s != nil {
		return s
	}
	if len(l.servers) >= maxLimitedServers {
		l.removeOld(now)
	}
	if len(l.servers) >= maxLimitedServers {
		return nil
	}
	s = &serverLimit{}
	l.servers[server] = s
	return s
}

// set sets a limit that was stated at the given time. The caller holds mu.
func (l *Servers) set(now time.Time, s *serverLimit, perSecond float64, statedAt time.Time) (rate float64, changed bool) {
	rate = min(max(perSecond, minServerRate), maxServerRate)
	changed = s.rate != rate
	if s.rate == 0 {
		l.limited++
		s.tokens, s.tokensAt = 0, now
	}
	s.rate, s.statedAt, s.learntAt, s.heardAt, s.without = rate, statedAt, statedAt, statedAt, 0
	return rate, changed
}

// Reports returns what this gateway has recently learnt from its own responses, the
// newest first.
func (l *Servers) Reports(now time.Time) []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	var reports []Report
	for server, s := range l.servers {
		if age := now.Sub(s.ownAt); !s.ownAt.IsZero() && age <= reportAge && !s.learntAt.After(s.ownAt) {
			reports = append(reports, Report{Server: server, Rate: s.rate, Age: age})
		}
	}
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Compare(a.Age, b.Age) })
	return reports
}

// Apply applies what another gateway has learnt, unless something newer is known. It
// returns the limit in effect, zero if there is none, and whether it has changed.
func (l *Servers) Apply(now time.Time, r Report) (rate float64, changed bool) {
	if !(r.Rate >= 0) || r.Age < 0 || r.Age > maxReportAge {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[r.Server]
	if s == nil && r.Rate > 0 {
		s = l.server(now, r.Server)
	}
	learntAt := now.Add(-r.Age)
	if s == nil || !learntAt.After(s.learntAt) {
		return 0, false
	}
	if r.Rate > 0 {
		return l.set(now, s, r.Rate, learntAt)
	}
	s.learntAt = learntAt
	return 0, l.end(s)
}

// end ends a limit. It returns false if there was none. The caller holds mu.
func (l *Servers) end(s *serverLimit) bool {
	if s.rate == 0 {
		return false
	}
	s.rate = 0
	l.limited--
	return true
}

// NotStated records that the response to a request that was sent at the given time
// stated no limit. It reports whether this ends the limit of the server.
func (l *Servers) NotStated(now, sentAt time.Time, server retry.Incarnation) (ended bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[server]
	if s == nil || s.rate == 0 || !sentAt.After(s.statedAt) {
		return false
	}
	s.without++
	if s.without < limitEndResponses || sentAt.Sub(s.statedAt) < limitEndHold {
		return false
	}
	s.learntAt, s.ownAt = now, now
	return l.end(s)
}

// Any reports whether some server has a limit or is cold.
func (l *Servers) Any() bool { return l.AnyCold() || l.AnyStated() }

// AnyStated reports whether some server has a limit that it states.
func (l *Servers) AnyStated() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limited > 0
}

// Limited reports whether a server has a limit or is cold.
func (l *Servers) Limited(now time.Time, server retry.Incarnation) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[server]
	return s != nil && s.rate > 0 || l.coldLimit(now, server) != nil
}

// Next returns when this gateway may send the next request to a server.
func (l *Servers) Next(now time.Time, server retry.Incarnation, share Share) Allowance {
	l.mu.Lock()
	defer l.mu.Unlock()
	var a Allowance
	if s := l.servers[server]; s != nil && s.rate > 0 {
		a = s.next(now, share)
	}
	c := l.coldLimit(now, server)
	if c == nil {
		return a
	}
	cold := l.nextCold(now, c, share)
	if !a.Limited {
		return cold
	}
	if cold.At.After(a.At) {
		a.At = cold.At
	}
	if cold.ReturnAt.After(a.ReturnAt) {
		a.ReturnAt = cold.ReturnAt
	}
	a.Interval = max(a.Interval, cold.Interval)
	return a
}

// NextStated returns the same as Next, but without the limit of cold servers.
func (l *Servers) NextStated(now time.Time, server retry.Incarnation, share Share) Allowance {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[server]
	if s == nil || s.rate == 0 {
		return Allowance{}
	}
	return s.next(now, share)
}

// Take takes the permission to send a request to a server now. It returns false if the
// request must not be sent.
func (l *Servers) Take(now time.Time, server retry.Incarnation, share Share) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, c := l.servers[server], l.coldLimit(now, server)
	stated := s != nil && s.rate > 0
	if stated && s.next(now, share).At.After(now) || c != nil && !l.mayTake(now, c, share) {
		return false
	}
	if c != nil {
		c.take(now)
	}
	if stated {
		if holders, _ := divide(s.rate, share.Gateways); share.Position < holders {
			s.tokens--
		}
		s.heardAt = now // a further request of this gateway would show nothing more
	}
	return true
}

// divide returns how many of the gateways use a limit, and their bursts together.
func divide(rate float64, gateways int) (holders int, burst float64) {
	if float64(gateways) <= rate+extraHolders {
		return max(1, gateways), burstSeconds*rate + extraBurst
	}
	return int(rate + extraHolders - probeReserve), burstSeconds*rate + extraBurst - 1
}

// next returns when the gateway may send the next request.
func (s *serverLimit) next(now time.Time, share Share) Allowance {
	n, bursts := divide(s.rate, share.Gateways)
	if share.Position >= n {
		return Allowance{Limited: true, At: s.nextProbe(now, share, n), ReturnAt: now.Add(seconds(1 / s.rate)), Interval: seconds(1 / s.rate)}
	}
	rate := s.rate / float64(n)
	s.tokens = min(bursts/float64(n), s.tokens+rate*now.Sub(s.tokensAt).Seconds())
	s.tokensAt = now
	at := now
	if s.tokens < 1 {
		at = now.Add(seconds((1 - s.tokens) / rate))
	}
	return Allowance{Limited: true, At: at, ReturnAt: at, Interval: seconds(1 / rate)}
}

// nextProbe returns when a gateway that is none of the first n may send a request to find
// out whether the limit still holds: within probeInterval of its turn.
func (s *serverLimit) nextProbe(now time.Time, share Share, n int) time.Time {
	turn := s.heardAt.Add(silence + time.Duration(share.Position-n)*probeInterval)
	round := time.Duration(max(share.Gateways, share.Position+1)-n) * probeInterval
	if late := now.Sub(turn) - probeInterval; late >= 0 {
		turn = turn.Add((late/round + 1) * round)
	}
	if turn.Before(now) {
		return now
	}
	return turn
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// removeOld removes the servers without a limit, and those that have not stated it for
// limitHold. The caller holds mu.
func (l *Servers) removeOld(now time.Time) {
	for server, s := range l.servers {
		if s.rate == 0 || now.Sub(s.statedAt) > limitHold {
			l.end(s)
			delete(l.servers, server)
		}
	}
}
