package entry

import (
	"time"

	"github.com/sesameswitch/sesameswitch/agentapi"
	"github.com/sesameswitch/sesameswitch/idempotency"
	"github.com/sesameswitch/sesameswitch/manifest"
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
	route   routing.Request
	// resuming is true once the caller has a part of a broken stream.
	resuming bool
	// retryRatio is the maximum ratio of retries to requests.
	retryRatio float64
	// refuseReason is why the entry would refuse a request with a key. The
	// agent decides, since the key may have been used through another entry.
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

// targetRemaining returns the remaining time of the latency target, at least 1
// ms, or zero if there is no target. A broken stream has met or missed its
// target already; it has the resume window instead.
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
	// queueTimeDivisor is the divisor of the remaining latency target that
	// gives the maximum queue time of a top-tier request at one agent.
	queueTimeDivisor = 5
	// minQueueTime is the minimum time that is worth waiting at one agent.
	minQueueTime = 60 * time.Millisecond
)

// maxQueueTime is how long a request may wait at one agent; zero means as long
// as the latency target allows. A top-tier request soon moves to another agent,
// since any of several agents is likely to have a free slot earlier than one
// given agent.
func (r *request) maxQueueTime(remaining time.Duration) time.Duration {
	if r.class.Tier != manifest.TopTier || remaining == 0 || r.resuming {
		return 0
	}
	return max(minQueueTime, remaining/queueTimeDivisor)
}

// firstByteTimeout is how long an attempt may take to the first byte of its
// response before the agent is considered stuck.
func (r *request) firstByteTimeout() time.Duration {
	target := r.latencyTarget()
	switch {
	case target > 0:
		return max(2*target, target+time.Second)
	case r.args.Stream:
		return stallTimeout
	default:
		return bufferedResponseTimeout
	}
}

// refusalLimit is the number of agents that may refuse the request before the
// entry refuses it.
func (r *request) refusalLimit() int {
	if r.class.Tier == manifest.TopTier {
		return maxTopTierRefusals
	}
	return maxRefusals
}
