//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["leaving"] = leavingReplica }

// settled is how long after the silence the machines are in touch at the latest: contact_ms, and
// half a second for the silence itself.
const settled = contact + 500*time.Millisecond

// leavingReplica takes three of twelve replicas away, one after the other, and lets the open
// connections to the store go silent soon after the store has acknowledged that. The replicas never
// report that they are draining: their entries are removed, and they serve on for some seconds. When
// the gateways are in touch again, they must send nothing to them.
func leavingReplica(d *deployment, trouble bool) ([]string, error) {
	routes := []string{route("r-unsafe", "/puxa403/", "unsafe", "gopu72b", 1500, 300, 1, true)}
	d.publish(3, configuration(3, routes, plainService("gopu72b"), `[{"name":"hule930","api_keys":["`+firstKey+`"],"priority":1}]`))
	for i := range 12 {
		if _, err := d.startReplica(fmt.Sprintf("i-%d", i+1), "gopu72b", 11+i, 6, answer(60*time.Millisecond)); err != nil {
			return nil, err
		}
	}
	for i := range 3 {
		if err := d.startGateway(1 + i); err != nil {
			return nil, err
		}
	}
	if err := d.awaitReady(); err != nil {
		return nil, err
	}
	began := time.Now()
	var mu sync.Mutex
	var all []sent
	var clients sync.WaitGroup
	for i := range 12 {
		clients.Go(func() {
			c := &client{record: d.record, address: d.address(1+i%3, frontPort)}
			for time.Since(began) < 14*time.Second {
				s := c.do("POST", "/puxa403/2f", "", 1500*time.Millisecond, "seat 12")
				mu.Lock()
				all = append(all, s)
				mu.Unlock()
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	time.Sleep(5 * time.Second)
	for _, r := range d.replicas[:2] {
		d.removeEntry(r)
		time.Sleep(leaveGap)
	}
	leaving := d.replicas[2]
	acknowledged := d.removeEntry(leaving)
	time.Sleep(silentAfter)
	silenced, n := time.Now(), 0
	if trouble {
		n = d.link.silence()
	}
	d.record.add("connections to the store silent for good: %d", n)
	time.Sleep(leavingServes)
	for _, r := range d.replicas[:3] {
		r.end()
	}
	clients.Wait()
	return leavingBroken(d, all, leaving, silenced, acknowledged), nil
}

const (
	// leaveGap is the time between two removals, silentAfter that from the last one to the silence.
	// A gateway begins to read the store at most once in 0.8 s: after the first two removals it reads
	// the third one that much after the first.
	leaveGap    = 200 * time.Millisecond
	silentAfter = 200 * time.Millisecond
	// leavingServes is how long the replicas serve on after the silence.
	leavingServes = 4300 * time.Millisecond
)

// removeEntry removes the entry of a replica that leaves, and returns when the store acknowledged
// it.
func (d *deployment) removeEntry(r *replica) time.Time {
	d.store.Remove("servers/" + r.id)
	at := time.Now()
	d.record.add("replica %s leaves: the removal of its entry is acknowledged", r.id)
	return at
}

// leavingBroken returns how the rule on leaving replicas was broken by gateways in touch.
func leavingBroken(d *deployment, all []sent, leaving *replica, silenced, acknowledged time.Time) []string {
	late, lost := 0, 0
	var last time.Duration
	for _, s := range all {
		if s.at.Sub(silenced) <= settled {
			continue // the machine that took the request may not have been in touch
		}
		for _, r := range d.record.runsOf(s.id) {
			if after := r.at.Sub(acknowledged); r.replica == leaving.id && after > drainPeriod {
				late++
				last = max(last, after)
				if s.status != 200 {
					lost++
				}
			}
		}
	}
	if late == 0 {
		return nil
	}
	return []string{fmt.Sprintf("DRAIN: %d requests reached %s later than drain_ms after the removal of its entry, up to %d ms after it, taken and sent on by gateways in touch; %d of them got no success", late, leaving.id, last.Milliseconds(), lost)}
}
