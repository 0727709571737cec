package soak

import (
	"fmt"
	"sort"
	"time"
)

const (
	// limitWindow is the period for which a limit bounds the requests.
	limitWindow = 4 * time.Second
	// limitTolerance and limitExtra are what a server may receive in it: limitTolerance
	// times what its limit allows, and limitExtra requests.
	limitTolerance = 1.5
	limitExtra     = 5
	// limitReactionTime is how long after a gateway passed on a response with a limit
	// its requests do not count yet.
	limitReactionTime = 500 * time.Millisecond
)

// checkLimits checks that a server which states a limit receives, in each limitWindow,
// no more requests than the limit allows from the gateways that had passed on a response
// with it.
func (d *deployment) checkLimits() []Violation {
	type pair struct{ gateway, server string }
	var found []Violation
	for _, period := range d.limits {
		learnt := make(map[pair]time.Time)
		for _, c := range d.history.calls {
			for _, r := range d.history.received[c.id] {
				p := pair{c.gateway, r.server}
				if r.server != period.server || !r.statesLimit || c.err != nil || c.endedAt.Before(period.from) || r.receivedAt.Before(period.from) {
					continue
				}
				if at, known := learnt[p]; !known || c.endedAt.Before(at) {
					learnt[p] = c.endedAt
				}
			}
		}
		var arrivals []time.Time
		for _, c := range d.history.calls {
			at, known := learnt[pair{c.gateway, period.server}]
			for _, r := range d.history.received[c.id] {
				if known && r.server == period.server && r.receivedAt.After(at.Add(limitReactionTime)) && r.receivedAt.Before(period.to) {
					arrivals = append(arrivals, r.receivedAt)
				}
			}
		}
		sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].Before(arrivals[j]) })
		allowed := limitTolerance*period.rate*limitWindow.Seconds() + limitExtra
		most, first := 0, 0
		for i := range arrivals {
			for arrivals[i].Sub(arrivals[first]) > limitWindow {
				first++
			}
			most = max(most, i-first+1)
		}
		if float64(most) > allowed {
			found = append(found, Violation{limitedServerRate, fmt.Sprintf("%s stated a limit of %g a second from %.2fs to %.2fs and received %d requests in %v from gateways that knew it, allowed %g", period.server, period.rate, period.from.Sub(d.startedAt).Seconds(), period.to.Sub(d.startedAt).Seconds(), most, limitWindow, allowed)})
		}
	}
	return found
}
