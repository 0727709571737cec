//go:build review

package main

import (
	"fmt"
	"time"
)

func init() { cases["silent-store"] = silentStore }

// silentStore lets the open connections to the store go silent, and changes the configuration and
// lets a replica leave soon after. contact_ms later the gateway is in touch: it must handle
// requests by the new version, and send none to the replica that has left.
func silentStore(d *deployment, trouble bool) ([]string, error) {
	version := func(number int, service string) time.Time {
		routes := []string{route("r-unsafe", "/puxa403/", "unsafe", service, 1500, 300, 1, true)}
		return d.publish(number, configuration(number, routes, plainService("gopu72b")+","+plainService("wuno96b"), `[{"name":"hule930","api_keys":["`+firstKey+`"],"priority":1}]`))
	}
	version(3, "gopu72b")
	for i, service := range []string{"gopu72b", "gopu72b", "wuno96b", "wuno96b"} {
		if _, err := d.startReplica(fmt.Sprintf("i-%d", i+1), service, 11+i, 6, answer(60*time.Millisecond)); err != nil {
			return nil, err
		}
	}
	if err := d.startGateway(1); err != nil {
		return nil, err
	}
	if err := d.awaitReady(); err != nil {
		return nil, err
	}
	began := time.Now()
	c, tester := &client{record: d.record, address: d.address(1, frontPort)}, &client{record: d.record, address: d.address(1, frontPort)}
	var silenced, acknowledged time.Time
	var all []sent
	tests := 0
	for time.Since(began) < 16*time.Second {
		now := time.Since(began)
		if tests < 12 && now > time.Duration(tests)*370*time.Millisecond {
			tests++ // a request that only tests which configuration is in force
			tester.do("GET", "/never/2f", firstKey, 1500*time.Millisecond, "")
		}
		if now > 5*time.Second && silenced.IsZero() {
			silenced = time.Now()
			n := 0
			if trouble {
				n = d.link.silence()
			}
			d.record.add("connections to the store silent for good: %d", n)
		}
		if now > 5800*time.Millisecond && acknowledged.IsZero() {
			acknowledged = version(5, "wuno96b")
		}
		all = append(all, c.do("POST", "/puxa403/2f", "", 1500*time.Millisecond, "seat 12"))
		time.Sleep(50 * time.Millisecond)
	}
	return staleBroken(d, all, silenced, acknowledged), nil
}

// staleBroken returns how the rule on configurations was broken by a gateway in touch.
func staleBroken(d *deployment, all []sent, silenced, acknowledged time.Time) []string {
	stale := 0
	var last time.Duration
	for _, s := range all {
		if s.at.Sub(acknowledged) <= configApply || s.at.Sub(silenced) <= contact {
			continue
		}
		for _, r := range d.record.runsOf(s.id) {
			if r.service == "gopu72b" {
				stale++
				last = s.at.Sub(acknowledged)
			}
		}
	}
	if stale == 0 {
		return nil
	}
	return []string{fmt.Sprintf("CONFIG: %d requests were run by the old service, sent up to %d ms after the acknowledgement of the version that moved their route, by a gateway in touch", stale, last.Milliseconds())}
}
