//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// earlyBodyBytes is the length of the long requests, below max_body_bytes of 4,194,304.
	earlyBodyBytes = 4_000_000
	// spoiledEach is the inverse of the share of its answers that a faulty replica breaks off.
	spoiledEach = 20
	// spoiledFor is how long the replica is faulty.
	spoiledFor = 5 * time.Second
)

func init() { cases["early-answer"] = earlyAnswer }

// earlyAnswer lets all replicas answer before they have read a long body, and without a length:
// the answer ends with its connection. For spoiledFor, two of the four replicas break every
// twentieth of their answers off in the middle, by a reset.
func earlyAnswer(d *deployment, trouble bool) ([]string, error) {
	routes := []string{route("r-unsafe", "/puxa403/", "unsafe", "gopu72b", 4000, 300, 1, true)}
	d.publish(3, configuration(3, routes, plainService("gopu72b"), `[{"name":"hule930","api_keys":["`+firstKey+`"],"priority":1}]`))
	whole := strings.Repeat("line of the answer\n", 200)
	var faulty atomic.Bool
	var answers atomic.Int64
	run := func(r *replica, e *exchange) bool {
		time.Sleep(20 * time.Millisecond)
		e.head(r, 200, "Content-Type: text/plain\r\nConnection: close\r\n")
		_, _ = io.WriteString(e.conn, whole[:len(whole)/2])
		if faulty.Load() && (r.id == "i-1" || r.id == "i-2") && answers.Add(1)%spoiledEach == 0 {
			time.Sleep(200 * time.Millisecond)
			d.record.add("replica %s resets the connection in the middle of its answer to %s", r.id, e.id)
			_ = e.conn.(*net.TCPConn).SetLinger(0)
			return false
		}
		_, _ = io.WriteString(e.conn, whole[len(whole)/2:])
		_, _ = io.Copy(io.Discard, e.rest)
		return false
	}
	for i := range 4 {
		r, err := d.startReplica(fmt.Sprintf("i-%d", i+1), "gopu72b", 11+i, 6, run)
		if err != nil {
			return nil, err
		}
		r.early = true
	}
	if err := d.startGateway(1); err != nil {
		return nil, err
	}
	if err := d.awaitReady(); err != nil {
		return nil, err
	}
	return earlyTraffic(d, whole, func(since time.Duration) {
		faulty.Store(trouble && since > 2*time.Second && since < 2*time.Second+spoiledFor)
	}), nil
}

// earlyTraffic sends long requests for 9 s and returns how the rule was broken.
func earlyTraffic(d *deployment, whole string, tick func(since time.Duration)) []string {
	body := strings.Repeat("x", earlyBodyBytes)
	began := time.Now()
	var mu sync.Mutex
	var broken []string
	var all sync.WaitGroup
	for range 10 {
		all.Go(func() {
			c := &client{record: d.record, address: d.address(1, frontPort)}
			for time.Since(began) < 9*time.Second {
				tick(time.Since(began))
				s := c.do("POST", "/puxa403/2f", "", 4*time.Second, body)
				if s.err == nil && s.status == 200 && s.body != whole {
					mu.Lock()
					broken = append(broken, fmt.Sprintf("MIXED: %s got a complete success with %d of the %d bytes of the replica's answer, which was reset on the way", s.id, len(s.body), len(whole)))
					mu.Unlock()
				}
				time.Sleep(20 * time.Millisecond)
			}
			c.close()
		})
	}
	all.Wait()
	return broken
}
