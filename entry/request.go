package entry

import (
	"time"

	"github.com/sesameswitch/sesameswitch/agentapi"
	"github.com/sesameswitch/sesameswitch/idempotency"
	"github.com/sesameswitch/sesameswitch/manifest"
	"github.com/sesameswitch/sesameswitch/membudget"
	"github.com/sesameswitch/sesameswitch/outcome"
	"github.com/sesameswitch/sesameswitch/routing"
)

// request is a request of a caller after validation and classification.
type request struct {
	id         string
	receivedAt time.Time
	account    *manifest.ClientAccount
	class      *manifest.Class
	// key is set for at-most-once requests.
	key     *idempotency.Key
	keyText string
	args    agentapi.SubmitArgs
	routing routing.Request
	// memory is what the request holds of the entry's memory; nil without a limit.
	memory *membudget.Claim
	// resuming is true once the caller has received a part of a broken stream.
	resuming bool
	// retryRatio is the maximum ratio of retries to requests.
	retryRatio float64
	// refuseReason is the reason for which the entry wants to refuse a request
	// with a key, if any. The agent decides, since a request with the key may
	// have run already, for example through another entry.
	refuseReason outcome.Reason
}

// keyed reports whether the request runs at most once.
func (r *request) keyed() bool {
	return r.class.Repeatability == manifest.AtMostOnce
}

// latencyTarget is the target time from the receipt of the request to the start
// of its stream, or to the complete response if the class has no target for the
// first token. Zero means no target.
func (r *request) latencyTarget() time.Duration {
	if r.args.Stream && r.class.Targets.FirstToken > 0 {
		return r.class.Targets.FirstToken
	}
	return r.class.Targets.EndToEnd
}

// targetRemaining returns the remaining time of the latency target, or zero if
// the class has no target. The time is at least 1 ms, since zero means no
// target. A broken stream has met or missed its target already and gets the
// resume window instead.
func (r *request) targetRemaining(now time.Time) time.Duration {
	if r.resuming {
		return resumeWindow
	}
	target := r.latencyTarget()
	if target == 0 {
		return 0
	}
	return max(time.Millisecond, target-now.Sub(r.receivedAt))
}

const (
	// queueTimeDivisor determines the maximum queue time of a top-tier request
	// at one agent: the remaining time of the latency target divided by
	// queueTimeDivisor.
	queueTimeDivisor = 5
	// minQueueTime is the lower bound of that queue time; a request with less
	// time remaining starts no further round.
	minQueueTime = 60 * time.Millisecond
)

// maxQueueTime returns how long a request may wait in the queue of one agent;
// zero means no limit other than the latency target. A top-tier request moves on
// early, since a slot at any one of several agents becomes free sooner than a
// slot at one given agent.
func (r *request) maxQueueTime(remaining time.Duration) time.Duration {
	if r.class.Tier != manifest.TopTier || remaining == 0 || r.resuming {
		return 0
	}
	return max(minQueueTime, remaining/queueTimeDivisor)
}

// firstByteTimeout returns how long an attempt may wait for the first byte of
// its response before the attempt fails.
func (r *request) firstByteTimeout() time.Duration {
	target := r.latencyTarget()
	switch {
	case target > 0:
		return max(2*target, target+time.Second)
	case r.args.Stream:
		return stallTimeout
	default:
		return bufferedFirstByteTimeout
	}
}

// refusalLimit returns the number of attempts that may be refused or not reach
// the agent before the entry refuses the request.
func (r *request) refusalLimit() int {
	if r.class.Tier == manifest.TopTier {
		return maxTopTierRefusals
	}
	return maxRefusals
}
