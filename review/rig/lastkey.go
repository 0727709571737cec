//go:build review

package main

import (
	"fmt"
	"time"
)

// Keys and services of lastKey.
const (
	firstKey   = "n2ctnfzs989anu6wsjnb"
	secondKey  = "anfqasnmgkcuyj8pjbvk"
	unknownKey = "zzzzzzzzzzzzzzzzzzzz"
)

func init() { cases["last-key"] = lastKey }

// lastKey takes both keys of the only tenant away, one after the other. A request sent later than
// revoke_ms after that must not run, and neither must one whose key no configuration ever held.
func lastKey(d *deployment, trouble bool) ([]string, error) {
	routes := []string{
		route("r-unsafe", "/puxa403/", "unsafe", "gopu72b", 1500, 300, 1, false),
		route("r-safe", "/cufi504/", "safe", "gopu72b", 1500, 300, 2, false),
	}
	version := func(number int, keys string) time.Time {
		return d.publish(number, configuration(number, routes, plainService("gopu72b"), `[{"name":"hule930","api_keys":[`+keys+`],"priority":1}]`))
	}
	version(3, `"`+firstKey+`","`+secondKey+`"`)
	for i := range 3 {
		if _, err := d.startReplica(fmt.Sprintf("i-%d", i+1), "gopu72b", 11+i, 6, answer(60*time.Millisecond)); err != nil {
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
	taken := map[string]time.Time{}
	began := time.Now()
	var all []sent
	clients := []*client{{record: d.record, address: d.address(1, frontPort)}, {record: d.record, address: d.address(2, frontPort)}}
	for time.Since(began) < 18*time.Second {
		if trouble && time.Since(began) > 3*time.Second && taken[firstKey].IsZero() {
			taken[firstKey] = version(5, `"`+secondKey+`"`)
		}
		if trouble && time.Since(began) > 4500*time.Millisecond && taken[secondKey].IsZero() {
			taken[secondKey] = version(8, "")
		}
		for _, c := range clients {
			for _, key := range []string{firstKey, secondKey, unknownKey} {
				all = append(all, c.do("POST", "/puxa403/2f", key, 1500*time.Millisecond, "seat 12"))
			}
		}
		time.Sleep(150 * time.Millisecond)
	}
	return keysBroken(d, all, taken), nil
}

// keysBroken returns how the rules on keys were broken.
func keysBroken(d *deployment, all []sent, taken map[string]time.Time) []string {
	late, never := 0, 0
	var example, exampleNever string
	for _, s := range all {
		ran := len(d.record.runsOf(s.id)) > 0
		at, isTaken := taken[s.key]
		switch {
		case ran && s.key == unknownKey:
			never++
			exampleNever = s.id
		case ran && isTaken && s.at.Sub(at) > revoke:
			late++
			example = s.id
		}
	}
	var broken []string
	if late > 0 {
		broken = append(broken, fmt.Sprintf("CONFIG: %d requests ran that were sent later than revoke_ms after the acknowledgement of the configuration that took their key away, the last %s", late, example))
	}
	if never > 0 {
		broken = append(broken, fmt.Sprintf("ROUTE: %d requests ran whose key no configuration ever held, the last %s", never, exampleNever))
	}
	return broken
}
