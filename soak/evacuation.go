package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/sesameswitch/sesameswitch/platform/standin"
)

const (
	// maxEvacuationDelay bounds the time from the acknowledgement of the key that evacuates a
	// data centre until a gateway sends nothing there, if it can reach the store.
	maxEvacuationDelay = 2 * time.Second
	// evacuationHold is how much longer than other faults a data centre is evacuated, so that
	// the check covers the duration of the fault.
	evacuationHold = maxEvacuationDelay + maxRecordingDelay
	// minVariantOfAll is the smallest variant that evacuates a data centre also while the other
	// one is evacuated. Then all requests are refused, and other faults have no effect.
	minVariantOfAll = 3
)

// dataCentres are the data centres of a test with evacuations.
var dataCentres = []string{"zone-a", "zone-b"}

// dataCentreOf returns the data centre of the server with the given number. Two servers in
// a row, which have different software versions, are in the same one.
func (d *deployment) dataCentreOf(n int) string {
	if !d.opts.Evacuations {
		return dataCentres[0]
	}
	return dataCentres[n/2%len(dataCentres)]
}

// evacuation is a period in which the key of a data centre was in the store: from its
// acknowledgement until its removal was begun.
type evacuation struct {
	dataCentre string
	from, to   time.Time
}

// impairment is a period in which the store, or the link of one gateway to it, was faulty,
// or the gateway did not run.
type impairment struct {
	// gateway is the name of the gateway, empty for all.
	gateway string
	// restore is true if the store was replaced by an older copy, which may lack a key.
	restore  bool
	from, to time.Time
}

// impair injects and clears a fault, and records the period as an impairment of a gateway,
// of all gateways if the name is empty.
func (d *deployment) impair(gateway string, fault func()) {
	from := time.Now()
	fault()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.impairments = append(d.impairments, impairment{gateway: gateway, from: from, to: time.Now()})
}

// impaired reports whether an impairment of a gateway overlaps the given period. If
// restoresOnly is true, only restores of the store count.
func (d *deployment) impaired(gateway string, from, to time.Time, restoresOnly bool) bool {
	for _, i := range d.impairments {
		if (i.gateway == "" || i.gateway == gateway) && (i.restore || !restoresOnly) && !i.from.After(to) && !i.to.Before(from) {
			return true
		}
	}
	return false
}

// evacuate writes the key of a data centre and removes it later. Its servers are cold from
// then on if the variant is even. It does nothing if the data centre is evacuated already, or
// if the other one is and the variant is below minVariantOfAll.
func (d *deployment) evacuate(f Fault) {
	dataCentre := dataCentres[f.Target%len(dataCentres)]
	d.mu.Lock()
	skip := d.evacuated[dataCentre] || f.Variant < minVariantOfAll && slices.Contains(slices.Collect(maps.Values(d.evacuated)), true)
	d.evacuated[dataCentre] = d.evacuated[dataCentre] || !skip
	d.mu.Unlock()
	if skip {
		return
	}
	d.evacuationMu.Lock()
	d.store.Put(standin.EvacuationKey(dataCentre), []byte("planned work"))
	from := time.Now()
	d.evacuationMu.Unlock()
	time.Sleep(min(f.For+evacuationHold, time.Until(d.startedAt.Add(d.opts.Duration))))
	d.evacuationMu.Lock()
	defer d.evacuationMu.Unlock()
	d.mu.Lock()
	d.evacuated[dataCentre] = false
	d.evacuations = append(d.evacuations, evacuation{dataCentre, from, time.Now()})
	var cold []*server
	for _, s := range d.servers {
		if f.Variant%2 == 0 && s.dataCentre == dataCentre && s.registeredState() == "ready" {
			cold = append(cold, s)
		}
	}
	d.mu.Unlock()
	for _, s := range cold {
		d.startCold(s, coldServers.Time, from)
	}
	d.store.Remove(standin.EvacuationKey(dataCentre))
}

// writeEvacuations writes the keys of evacuated data centres again, and removes those of
// the others.
func (d *deployment) writeEvacuations() {
	d.evacuationMu.Lock()
	defer d.evacuationMu.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	for dataCentre, evacuated := range d.evacuated {
		if evacuated {
			d.store.Put(standin.EvacuationKey(dataCentre), []byte("planned work"))
		} else {
			d.store.Remove(standin.EvacuationKey(dataCentre))
		}
	}
}

// checkEvacuations checks that no request reaches a server of an evacuated data centre
// later than maxEvacuationDelay after the store acknowledged the key.
//
// A request is excused only if its gateway was impaired within contactTime before it
// arrived, and also between contactTime before the acknowledgement and the end of the
// delay, so that it may not have known the key at all; or if the store was restored within
// contactTime before the request arrived.
func (d *deployment) checkEvacuations() []Violation {
	var found []Violation
	for _, c := range d.history.calls {
		gateway, _, _ := strings.Cut(c.gateway, "/")
		for _, r := range d.history.received[c.id] {
			for _, e := range d.evacuations {
				known := e.from.Add(maxEvacuationDelay + maxRecordingDelay)
				if r.dataCentre != e.dataCentre || !r.receivedAt.After(known) || !r.receivedAt.Before(e.to) {
					continue
				}
				contact := r.receivedAt.Add(-contactTime)
				neverKnown := d.impaired(gateway, e.from.Add(-contactTime), known, false) && d.impaired(gateway, contact, r.receivedAt, false)
				if !neverKnown && !d.impaired(gateway, contact, r.receivedAt, true) {
					found = append(found, Violation{evacuatedUnused, fmt.Sprintf("%s %s by %s arrived at %s in %s at %.2fs, %v after the acknowledgement", c.route, c.id, c.gateway, r.server, e.dataCentre, r.receivedAt.Sub(d.startedAt).Seconds(), r.receivedAt.Sub(e.from))})
				}
			}
		}
	}
	return found
}
