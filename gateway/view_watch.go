package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/sesameswitch/sesameswitch/directory"
)

const (
	// watchWait is how long a watch waits for changes. It is short because the
	// view must be confirmed several times within the time limit for key
	// revocations.
	watchWait = 1500 * time.Millisecond
	// checkWait is the wait of a watch that only checks whether the store responds.
	checkWait = time.Millisecond
	// watchTimeout limits one watch: it may take longer than watchWait because of a slow
	// store or a lost packet.
	watchTimeout = 2400 * time.Millisecond
	// probeAfter is how much later than expected an answer may be before the store is probed
	// on a new connection, and probeInterval the time between such probes.
	probeAfter    = 300 * time.Millisecond
	probeInterval = 600 * time.Millisecond
	// maxProbes is the number of probes within watchTimeout.
	maxProbes = int(watchTimeout/probeInterval) + 1
	// latenessFactor allows an answer to be later than the last one by this factor.
	latenessFactor = 1.5
	// reconnectTime is the time in which a store that responds answers on a new connection.
	reconnectTime = 200 * time.Millisecond
	// minOutage is the least time without answers that counts as an outage of the store if
	// the heartbeat interval of the backend servers is not known.
	minOutage = 700 * time.Millisecond
)

// errUnanswered reports that the store has not answered a call in time; the call goes on.
var errUnanswered = eris.New("gateway: the store has not answered a watch in time; probing it on a new connection")

// watchAnswer is the result of one call of Store.Watch.
type watchAnswer struct {
	delta *Delta
	err   error
	// start is when the call began.
	start time.Duration
	// lateness is how much later than the end of the wait the answer came.
	lateness time.Duration
}

// callWatch makes one call of Store.Watch.
func (v *View) callWatch(ctx context.Context, revision uint64, wait time.Duration) watchAnswer {
	start := v.elapsed()
	delta, err := v.store.Watch(ctx, revision, wait)
	return watchAnswer{delta, err, start, max(0, v.elapsed()-start-wait)}
}

// watch waits for changes of the store. It ends early when another call has seen a
// newer era. A connection can be lost without notice: when the answer is overdue, the store is
// probed on new connections, and once it answers a probe, the call is repeated there. The first
// answer to either call counts. If the store answers probes but neither call, the answer is
// too large or too slow to be read, and the error is ErrUnreadable.
func (v *View) watch(ctx context.Context) watchAnswer {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	wait, revision := v.nextWait(), v.directory.Revision()
	answers, probes := make(chan watchAnswer, 2), make(chan error, maxProbes)
	go func() { answers <- v.callWatch(ctx, revision, wait) }()
	overdue := time.NewTimer(wait + probeAfter + time.Duration(latenessFactor*float64(v.lateness)))
	defer overdue.Stop()
	for repeated := false; ; {
		select {
		case answer := <-answers:
			switch {
			case answer.err == nil:
				v.lateness = answer.lateness
			case repeated && errors.Is(answer.err, context.DeadlineExceeded):
				answer.err = errors.Join(ErrUnreadable, answer.err)
			}
			return answer
		case <-v.eraChanged:
			cancel()
		case <-overdue.C:
			v.recordFailure(errUnanswered)
			v.store.CloseIdleConnections()
			go func() { probes <- v.store.Probe(ctx) }()
			overdue.Reset(probeInterval)
		case err := <-probes:
			if repeated {
				continue
			}
			if err != nil {
				return watchAnswer{err: err}
			}
			overdue.Stop()
			repeated = true
			go func() { answers <- v.callWatch(ctx, revision, checkWait) }()
		}
	}
}

// nextWait returns how long the next watch waits for changes. After a failure, the answer is to
// show at once whether the store is available again. Otherwise the next answer is due early
// enough that the loss of the connection is noticed, and the call answered on a new one, in a
// time in which no outage of the store expires leases.
func (v *View) nextWait() time.Duration {
	if v.unavailable {
		return checkWait
	}
	heartbeat := v.heartbeat()
	if heartbeat == 0 {
		return watchWait
	}
	sinceResponse := v.elapsed() - v.lastResponseAt
	return max(checkWait, min(watchWait, directory.LeaseExpiryOutage(heartbeat)-probeAfter-reconnectTime-sinceResponse))
}

// heartbeat returns the heartbeat interval of backend servers; zero if it is not known.
func (v *View) heartbeat() time.Duration {
	if v.HeartbeatInterval == nil {
		return 0
	}
	return v.HeartbeatInterval()
}

// reconnect closes the idle connections after a call that the store has not answered: they may
// have been lost like the one of the call.
func (v *View) reconnect(err error) {
	var answer *AnswerError
	if !errors.As(err, &answer) {
		v.store.CloseIdleConnections()
	}
}

// recordResponse records that the store responded. It notifies the directory if the response
// ends an outage of the store in which leases may have expired. A shorter time without answers
// can be a fault of this gateway's connections, and expires no lease in either case.
func (v *View) recordResponse() {
	now := v.elapsed()
	if v.unavailable {
		away := time.Duration(0)
		if v.lastResponseAt > 0 {
			away = now - v.lastResponseAt
		}
		leaseOutage := max(minOutage, directory.LeaseExpiryOutage(v.heartbeat()))
		expired := away > leaseOutage
		if expired {
			v.directory.StoreRecovered(time.Unix(0, int64(now)))
		}
		v.log.WithFields(logrus.Fields{"event": "store_regained", "away_ms": away.Milliseconds(), "leases_expired": expired, "lease_outage_ms": leaseOutage.Milliseconds()}).Info("store available")
		v.unavailable = false
	}
	v.lastResponseAt = now
}

// recordFailure records that a call to the store failed or is overdue. Only the first failure
// after a response is logged.
func (v *View) recordFailure(err error) {
	if v.unavailable {
		return
	}
	v.unavailable = true
	v.log.WithError(err).WithFields(logrus.Fields{"event": "store_lost", "age_ms": v.Age().Milliseconds()}).Warn("store unavailable; serving from the last known state")
}
