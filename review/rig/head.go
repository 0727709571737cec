//go:build review

package main

import (
	"fmt"
	"time"
)

func init() { cases["head"] = headRefusal }

// headRefusal takes a key away from a connected client that sends HEAD requests. Each is followed,
// on the same kept connection, by a GET request of a public route.
func headRefusal(d *deployment, trouble bool) ([]string, error) {
	routes := []string{
		route("r-safe", "/cufi504/", "safe", "gopu72b", 1500, 300, 2, false),
		route("r-public", "/pufi791/", "safe", "gopu72b", 1500, 300, 2, true),
	}
	version := func(number int, keys string) {
		d.publish(number, configuration(number, routes, plainService("gopu72b"), `[{"name":"hule930","api_keys":[`+keys+`],"priority":1}]`))
	}
	version(3, `"`+firstKey+`","`+secondKey+`"`)
	for i := range 3 {
		if _, err := d.startReplica(fmt.Sprintf("i-%d", i+1), "gopu72b", 11+i, 6, answer(20*time.Millisecond)); err != nil {
			return nil, err
		}
	}
	if err := d.startGateway(1); err != nil {
		return nil, err
	}
	if err := d.awaitReady(); err != nil {
		return nil, err
	}
	c := &client{record: d.record, address: d.address(1, frontPort)}
	var broken []string
	began, taken := time.Now(), false
	for time.Since(began) < 8*time.Second {
		if trouble && !taken && time.Since(began) > 2*time.Second {
			taken = true
			version(5, `"`+secondKey+`"`)
		}
		c.do("HEAD", "/cufi504/2f", firstKey, 1500*time.Millisecond, "")
		if s := c.do("GET", "/pufi791/2f", "", 1500*time.Millisecond, ""); s.err != nil {
			broken = append(broken, fmt.Sprintf("MIXED: the client of %s got bytes that are no answer: %v", s.id, s.err))
		}
		time.Sleep(100 * time.Millisecond)
	}
	return broken, nil
}
