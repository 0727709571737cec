package soak

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestCheckEvacuations guards against a check that excuses a gateway which must know of an
// evacuation, or blames one that could not know it.
func TestCheckEvacuations(t *testing.T) {
	start := time.Now()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	const gateway = "gateway-1"
	for name, c := range map[string]struct {
		arrivedAt   float64
		dataCentre  string
		impairments []impairment
		violated    bool
	}{
		"late":                           {14, "zone-b", nil, true},
		"within the delay":               {12.2, "zone-b", nil, false},
		"after the removal":              {21, "zone-b", nil, false},
		"in another data centre":         {14, "zone-a", nil, false},
		"store down all the while":       {14, "zone-b", []impairment{{from: at(9), to: at(16)}}, false},
		"store down until long before":   {19, "zone-b", []impairment{{from: at(9), to: at(15)}}, true},
		"store down after it was known":  {19, "zone-b", []impairment{{from: at(16), to: at(19)}}, true},
		"own link down":                  {14, "zone-b", []impairment{{gateway: gateway, from: at(9), to: at(13)}}, false},
		"link of another gateway down":   {14, "zone-b", []impairment{{gateway: "gateway-2", from: at(9), to: at(13)}}, true},
		"store restored from older copy": {16, "zone-b", []impairment{{restore: true, from: at(15), to: at(15)}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := &deployment{startedAt: start, history: newObservations(), evacuations: []evacuation{{"zone-b", at(10), at(20)}}, impairments: c.impairments}
			d.history.addCall(&call{id: "a", gateway: gateway + "/0"})
			d.history.addReceived("a", receivedRequest{server: "app-2", dataCentre: c.dataCentre, receivedAt: at(c.arrivedAt)})
			if found := d.checkEvacuations(); (len(found) > 0) != c.violated {
				t.Errorf("got violations %v, want violated %t", found, c.violated)
			}
		})
	}
}

// TestCheckCold guards against a check that misses a burst of all gateways together, or
// counts requests that the limit does not cover.
func TestCheckCold(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	allowed := int(coldServers.MaxRequests())
	for name, c := range map[string]struct {
		requests    int
		everyMs     int
		request     receivedRequest
		evacuated   bool
		impairments []impairment
		violated    bool
	}{
		"at the limit":                 {allowed, 10, receivedRequest{address: "cold"}, false, nil, false},
		"above the limit":              {allowed + 1, 49, receivedRequest{address: "cold"}, false, nil, true},
		"slow enough":                  {2 * allowed, 51, receivedRequest{address: "cold"}, false, nil, false},
		"refused":                      {allowed + 1, 10, receivedRequest{address: "cold", refused: true}, false, nil, true},
		"for another server":           {allowed + 1, 10, receivedRequest{address: "cold", misdirected: true}, false, nil, false},
		"of an earlier incarnation":    {allowed + 1, 10, receivedRequest{address: "before"}, false, nil, false},
		"after an evacuation":          {allowed + 1, 10, receivedRequest{address: "cold"}, true, nil, true},
		"after an unknown evacuation":  {allowed + 1, 10, receivedRequest{address: "cold"}, true, []impairment{{from: at(-4000), to: at(-3000)}}, false},
		"restarted while store failed": {allowed + 1, 10, receivedRequest{address: "cold"}, false, []impairment{{from: at(-4000), to: at(3000)}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			period := coldPeriod{server: "app-2", address: "cold", from: start, to: at(3000)}
			if c.evacuated {
				period.evacuatedFrom = at(-5000)
			}
			d := &deployment{startedAt: start, history: newObservations(), coldPeriods: []coldPeriod{period}, impairments: c.impairments, gateways: []*gatewayProcess{{}}}
			for i := range c.requests {
				c.request.receivedAt = at(i * c.everyMs)
				d.history.addReceived(fmt.Sprint(i), c.request)
			}
			if found := d.checkCold(); (len(found) > 0) != c.violated {
				t.Errorf("got violations %v, want violated %t", found, c.violated)
			}
		})
	}
}

// TestEvacuationsKeepOtherFaults guards against an option that changes the recorded plans of
// seeds: their faults must remain, in the same order.
func TestEvacuationsKeepOtherFaults(t *testing.T) {
	without, with := DefaultOptions(), DefaultOptions()
	with.Evacuations = true
	for seed := range uint64(20) {
		plan := DrawPlan(with, seed)
		others := slices.DeleteFunc(slices.Clone(plan), func(f Fault) bool { return f.Kind == EvacuateDataCentre || f.Kind == ServerRestartsCold })
		if before := DrawPlan(without, seed); !slices.Equal(others, before) || len(plan) != len(before)+evacuationFaults {
			t.Errorf("seed %d: got plan %v, want the faults of %v and %d others", seed, plan, before, evacuationFaults)
		}
	}
}
