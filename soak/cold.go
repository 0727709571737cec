package soak

import (
	"fmt"
	"slices"
	"time"

	"github.com/sesameswitch/sesameswitch/platform/standin"
)

// coldServers are the limits of cold servers in a test with evacuations: 20 requests in any
// second. Callers would send each server several times as many.
var coldServers = standin.ColdLimits{Time: 3 * time.Second, PerSecond: 10, Excess: 1.5, Extra: 5}

// coldFlood is the cause of the crash of a cold server that received too many requests.
const coldFlood = "too many requests to a cold server"

// coldLimits returns the limits of cold servers, zero in a test without evacuations.
func (d *deployment) coldLimits() standin.ColdLimits {
	if !d.opts.Evacuations {
		return standin.ColdLimits{}
	}
	return coldServers
}

// coldBounds returns the lines of the gateways' settings for evacuations and cold servers.
func (d *deployment) coldBounds() string {
	if !d.opts.Evacuations {
		return ""
	}
	return standin.BoundsLines(coldServers, maxEvacuationDelay)
}

// coldPeriod is a period in which a server was cold.
type coldPeriod struct {
	server, address string
	from, to        time.Time
	// evacuatedFrom is when the key of its data centre was acknowledged, if the server became
	// cold at the end of an evacuation and did not write its entry again; else zero.
	evacuatedFrom time.Time
}

// startCold makes a server cold. A flood of requests crashes it.
func (d *deployment) startCold(s *server, duration time.Duration, evacuatedFrom time.Time) {
	s.StartCold(duration, coldServers, func(e *standin.Exchange) bool {
		d.recordFlood(s, e)
		d.crash(s, e, coldFlood)
		return false
	})
	from := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.coldPeriods = append(d.coldPeriods, coldPeriod{server: s.ID, address: s.Address(), from: from, to: from.Add(duration), evacuatedFrom: evacuatedFrom})
}

// recordFlood records a request that a cold server did not run because it crashed.
func (d *deployment) recordFlood(s *server, e *standin.Exchange) {
	d.history.addReceived(e.RequestID(), receivedRequest{server: s.ID, service: s.service, dataCentre: s.dataCentre, address: s.Address(), receivedAt: time.Now(), account: e.Tenant(), hasKey: e.HasKey()})
}

// restartCold crashes a server and starts it again after the duration of the fault, with the
// same ID at another address. It is cold, as its new entry states. It does nothing if the
// server is going.
func (d *deployment) restartCold(s *server, f Fault) {
	s.mu.Lock()
	going := s.leaving || s.left || s.crashed || !s.drainingSince.IsZero()
	s.left, s.crashed = s.left || !going, s.crashed || !going
	s.mu.Unlock()
	if going {
		return
	}
	d.disrupt(f, func() {
		s.link.Close()
		s.Crash()
		d.replacing.Go(func() {
			time.Sleep(crashedListTime) // until its lease ends
			d.register(s)
		})
	}, func() {
		s.mu.Lock()
		s.superseded = true
		s.mu.Unlock()
		err := d.startServer(s, coldServers.Time)
		d.history.addFailure("backend server starts", err)
	})
}

// checkCold checks that in any second all gateways together send a cold server no more
// requests than it takes. A request that names another server does not count.
//
// A period after an evacuation counts only if no gateway was impaired from contactTime
// before the evacuation until the server became cold: one that did not know of the
// evacuation does not know of its end either.
func (d *deployment) checkCold() []Violation {
	var found []Violation
	for _, p := range d.coldPeriods {
		if !p.evacuatedFrom.IsZero() && d.anyImpaired(p.evacuatedFrom.Add(-contactTime), p.from) {
			continue
		}
		var arrivals []time.Time
		for _, received := range d.history.received {
			for _, r := range received {
				if r.address == p.address && !r.misdirected && !r.receivedAt.Before(p.from) && r.receivedAt.Before(p.to) {
					arrivals = append(arrivals, r.receivedAt)
				}
			}
		}
		slices.SortFunc(arrivals, time.Time.Compare)
		most, first := 0, 0
		for i := range arrivals {
			for arrivals[i].Sub(arrivals[first]) >= time.Second {
				first++
			}
			most = max(most, i-first+1)
		}
		if float64(most) > coldServers.MaxRequests() {
			found = append(found, Violation{coldServerRate, fmt.Sprintf("%s was cold from %.2fs to %.2fs and received %d requests in one second, allowed %g", p.server, p.from.Sub(d.startedAt).Seconds(), p.to.Sub(d.startedAt).Seconds(), most, coldServers.MaxRequests())})
		}
	}
	return found
}

// anyImpaired reports whether an impairment of any gateway overlaps the given period.
func (d *deployment) anyImpaired(from, to time.Time) bool {
	return slices.ContainsFunc(d.gateways, func(g *gatewayProcess) bool { return d.impaired(g.Name, from, to, false) })
}
