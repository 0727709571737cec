package entry

import (
	"time"

	"github.com/sesameswitch/sesameswitch/agentapi"
	"github.com/sesameswitch/sesameswitch/idempotency"
	"github.com/sesameswitch/sesameswitch/manifest"
	"github.com/sesameswitch/sesameswitch/outcome"
	"github.com/sesameswitch/sesameswitch/routing"
)

// request is one request of a caller after it was checked and classified.
type request struct {
	id       string
	received time.Time
	account  *manifest.ClientAccount
	class    *manifest.Class
	// key is set for requests that run at most once.
	key     *idempotency.Key
	keyText string
	args    agentapi.SubmitArgs
	route   routing.Request
	// resuming is true once the caller has a part of a stream that broke.
	resuming bool
	// retryShare is the share of requests that may be retries.
	retryShare float64
	// refuse is why the entry would refuse a request with a key; the agent
	// decides, since the key may have been used through another entry.
	refuse outcome.Reason
}

func (r *request) keyed() bool {
	return r.class.Repeatability == manifest.AtMostOnce
}

// target is how long after its arrival the request's answer should begin, or
// be whole for classes that count the whole call. Zero is no target.
func (r *request) target() time.Duration {
	if r.args.Stream && r.class.Targets.FirstToken > 0 {
		return r.class.Targets.FirstToken
	}
	return r.class.Targets.EndToEnd
}

// targetLeft is what is left of the target at a moment. A stream that broke
// has met or missed its target already; it may wait to go on.
func (r *request) targetLeft(now time.Time) time.Duration {
	if r.resuming {
		return resumeWithin
	}
	target := r.target()
	if target == 0 {
		return 0
	}
	return max(time.Millisecond, target-now.Sub(r.received))
}

const (
	// queueShare is the part of what is left of its target that a request of
	// the top tier waits at one agent before another one is asked.
	queueShare = 5
	// minQueueFor is the least time worth waiting at one agent.
	minQueueFor = 60 * time.Millisecond
)

// queueFor is how long a request may wait at one agent. A request of the top
// tier goes on to another one soon: of several agents, one has a free slot
// long before a given one has.
func (r *request) queueFor(left time.Duration) time.Duration {
	if r.class.Tier != manifest.TopTier || left == 0 || r.resuming {
		return 0
	}
	return max(minQueueFor, left/queueShare)
}

// patience is how long an attempt may go without the first byte of its
// answer before the agent is taken for stuck.
func (r *request) patience() time.Duration {
	target := r.target()
	switch {
	case target > 0:
		return max(2*target, target+time.Second)
	case r.args.Stream:
		return stallTimeout
	default:
		return wholePatience
	}
}

// refusals is how many agents may refuse before the request is refused.
func (r *request) refusals() int {
	if r.class.Tier == manifest.TopTier {
		return maxTopTierRefusals
	}
	return maxRefusals
}
