//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["storm"] = configStorm }

const (
	// largeRoutes is the number of routes beside those that the clients use.
	largeRoutes = 2800
	// stormGap is the time between two versions of the storm, stormVersions their number.
	stormGap      = 80 * time.Millisecond
	stormVersions = 25
	// stormWatched is how long the traffic goes on after the storm. The store keeps 20 s of history.
	stormWatched = 14 * time.Second
	// valueBytes is the size of the largest value that the store takes.
	valueBytes = 1 << 20
)

// configStorm publishes versions of a large configuration in quick succession. The last one moves the
// route of bookings to another service. Without the storm only the last one is published.
func configStorm(d *deployment, trouble bool) ([]string, error) {
	large := make([]string, largeRoutes)
	for i := range large {
		large[i] = fmt.Sprintf(`{"name":"r-%07x-enrolment-assistant","host":"school-%04d.enrolment.ficu95.example","prefix":"/lohu930/courses/%05d/","type":"stream","timeout_ms":8000,"goal_ms":1500,"priority":2,"split":[{"service":"gopu72b","weight":90},{"service":"wuno96b","weight":10}],"attempts":2,"public":false,"sticky":true,"can_resume":true,"gap_goal_ms":1000}`, i, i, i)
	}
	version := func(number int, service string, timeoutMs int) (time.Time, error) {
		routes := append([]string{
			route("r-unsafe", "/puxa403/", "unsafe", service, timeoutMs, 300, 1, true),
			route("r-keyed", "/pufi791/", "safe", "gopu72b", 1500, 300, 2, false),
		}, large...)
		document := configuration(number, routes, plainService("gopu72b")+","+plainService("wuno96b"), `[{"name":"hule930","api_keys":["`+firstKey+`"],"priority":1}]`)
		if len(document) > valueBytes {
			return time.Time{}, fmt.Errorf("the configuration has %d bytes", len(document))
		}
		d.record.add("operator: configuration of %d bytes", len(document))
		return d.publish(number, document), nil
	}
	if _, err := version(3, "gopu72b", 1500); err != nil {
		return nil, err
	}
	for i, service := range []string{"gopu72b", "gopu72b", "wuno96b", "wuno96b"} {
		if _, err := d.startReplica(fmt.Sprintf("i-%d", i+1), service, 11+i, 6, answer(60*time.Millisecond)); err != nil {
			return nil, err
		}
	}
	for i := range 2 {
		if err := d.startGateway(1 + i); err != nil {
			return nil, err
		}
	}
	if err := d.awaitReady(); err != nil {
		return nil, err
	}
	traffic := newTraffic(d)
	time.Sleep(4 * time.Second)
	if trouble {
		for i := range stormVersions - 1 {
			if _, err := version(5+2*i, "gopu72b", 1500+i); err != nil {
				return nil, err
			}
			time.Sleep(stormGap)
		}
	}
	acknowledged, err := version(200, "wuno96b", 1500)
	if err != nil {
		return nil, err
	}
	time.Sleep(stormWatched)
	return stormBroken(d, traffic.end(), acknowledged), nil
}

// traffic sends bookings and keyed requests to the gateways until it is ended.
type traffic struct {
	stop chan struct{}
	done chan []sent
}

func newTraffic(d *deployment) *traffic {
	t := &traffic{stop: make(chan struct{}), done: make(chan []sent, 2)}
	for i := range 2 {
		go func() {
			var all []sent
			c := &client{record: d.record, address: d.address(1+i, frontPort)}
			for {
				select {
				case <-t.stop:
					c.close()
					t.done <- all
					return
				default:
					all = append(all, c.do(http.MethodPost, "/puxa403/2f", "", 1500*time.Millisecond, "seat 12"), c.do(http.MethodGet, "/pufi791/2f", firstKey, 1500*time.Millisecond, ""))
					time.Sleep(100 * time.Millisecond)
				}
			}
		}()
	}
	return t
}

func (t *traffic) end() []sent {
	close(t.stop)
	return append(<-t.done, <-t.done...)
}

// stormBroken returns how the rule on configurations was broken.
func stormBroken(d *deployment, all []sent, acknowledged time.Time) []string {
	stale, keyed, refused := 0, 0, 0
	var last time.Duration
	for _, s := range all {
		after := s.at.Sub(acknowledged)
		if after <= configApply {
			continue
		}
		if strings.HasPrefix(s.target, "/pufi791/") {
			keyed++
			if s.status == http.StatusServiceUnavailable {
				refused++
			}
			continue
		}
		for _, r := range d.record.runsOf(s.id) {
			if r.service == "gopu72b" {
				stale++
				last = max(last, after)
			}
		}
	}
	if stale == 0 {
		return nil
	}
	return []string{fmt.Sprintf("CONFIG: %d bookings were run by the old service, sent up to %d ms after the acknowledgement of the version that moved their route; %d of %d requests with a key were refused meanwhile", stale, last.Milliseconds(), refused, keyed)}
}
