package retry

import "time"

// Others counts the other gateways by what this one knows of them.
type Others struct {
	// Able serve requests as far as they state, Unable state that they cannot. Silent were
	// reached before and have sent nothing lately.
	Able, Unable, Silent int
}

const (
	// elsewhereDelay is the delay of callers that another gateway can serve. They open a new
	// connection, which the load balancer gives to another gateway.
	elsewhereDelay = 20 * time.Millisecond
	// nowhereDelay is the delay of callers that no gateway can serve now.
	nowhereDelay = 300 * time.Millisecond
)

// ElsewhereDelay returns when callers should return that this gateway refuses for a reason of
// its own. It is designed for a part of the gateways being cut off from the platform's store for
// seconds, beside requests whose latency targets are shorter than a fixed delay: where others
// serve, the callers return at once and may still be in time; where none does, they do not come
// back before something may have changed. A gateway that hears none of the others is taken to be
// the one that is cut off.
func ElsewhereDelay(o Others) time.Duration {
	if o.Serve() {
		return elsewhereDelay
	}
	return nowhereDelay
}

// Serve reports whether another gateway can be expected to serve.
func (o Others) Serve() bool { return o.Able > 0 || o.Unable == 0 && o.Silent > 0 }
