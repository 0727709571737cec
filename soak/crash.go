package soak

import (
	"fmt"
	"time"

	"github.com/sesameswitch/sesameswitch/platform/standin"
)

const (
	// crashingSegment is the segment of prompts that crashes the servers during CrashingSegment,
	// crashingBody the body of the request that does during CrashingRequest.
	crashingSegment = "crashing"
	crashingBody    = "crashing body"
	// commonSegments is the number of first segments that prompts share.
	commonSegments = 4
	// crashingShare is the fraction of the requests that crash servers, as one in crashingShare.
	crashingShare = 4
	// A server that crashed is still listed for crashedListTime and replaced after
	// crashedDownTime.
	crashedListTime = 600 * time.Millisecond
	crashedDownTime = time.Second
	// contactTime is how long after the crashes that show their cause the gateways must
	// know it.
	contactTime = 3 * time.Second
	// maxRequestsAfterCrashes is how many requests that crash servers may arrive after that.
	maxRequestsAfterCrashes = 3
	// quarantineReason is the body of the response to a request that is refused because of
	// crashes.
	quarantineReason = "quarantined\n"
)

// crashesUntilKnown is how many crashes show their cause, by the kind of fault.
var crashesUntilKnown = map[string]int{CrashingSegment: 5, CrashingRequest: 3}

// chooseContent gives a request its body and a stream its prompt. During CrashingSegment some
// streams have the segment, during CrashingRequest some requests are the same one again.
func (cl *caller) chooseContent(c *call) {
	c.requestBody = "body of " + c.id
	if c.route != "stream" && c.route != onceRoute {
		if (c.route == "safe" || c.route == unsafeRoute) && cl.deployment.requestActive.Load() && cl.rng.IntN(crashingShare) == 0 {
			c.crashing, c.requestBody = CrashingRequest, crashingBody
		}
		return
	}
	segments := []string{fmt.Sprint("common-", cl.rng.IntN(commonSegments))}
	if cl.deployment.segmentActive.Load() && cl.rng.IntN(crashingShare) == 0 {
		c.crashing = CrashingSegment
		segments = append(segments, crashingSegment)
	}
	c.prompt = standin.PromptLine(append(segments, "own-"+c.id)...)
}

// crashCause returns the kind of fault that lets the request crash its server, or an empty
// string.
func crashCause(e *standin.Exchange) string {
	switch {
	case e.HasSegment(crashingSegment):
		return CrashingSegment
	case e.Body == crashingBody:
		return CrashingRequest
	}
	return ""
}

// crash ends a server in the middle of its response, and replaces it later. Only streams
// have begun their response.
func (d *deployment) crash(s *server, e *standin.Exchange, cause string) {
	if s.service == "llm" {
		e.WriteStreamHead()
		time.Sleep(2 * time.Millisecond) // the head passes the link
	}
	s.mu.Lock()
	going := s.left || s.crashed
	s.crashed = true
	s.mu.Unlock()
	if !going {
		d.mu.Lock()
		d.crashedAt[cause] = append(d.crashedAt[cause], time.Now())
		d.mu.Unlock()
	}
	s.link.Close()
	s.Crash()
	if going {
		return
	}
	d.replacing.Go(func() {
		time.Sleep(crashedListTime)
		s.mu.Lock()
		s.left = true
		s.mu.Unlock()
		d.register(s)
		time.Sleep(crashedDownTime - crashedListTime)
		d.history.addFailure("backend server starts", d.addServer(s.service))
	})
}

// uncrashed reports whether no server crashed in the given period or less than
// recoveryTime before it.
func (d *deployment) uncrashed(from, to time.Time) bool {
	for _, crashes := range d.crashedAt {
		for _, at := range crashes {
			if at.Before(to) && at.Add(recoveryTime).After(from) {
				return false
			}
		}
	}
	return true
}

// checkCrashes checks that gateways keep requests that crash servers away from them once
// crashes have shown the cause, and refuse no other requests for it.
func (d *deployment) checkCrashes() []Violation {
	var found []Violation
	arrived, refused := map[string]int{}, map[string]int{}
	for _, c := range d.history.calls {
		if c.crashing == "" {
			if c.body == quarantineReason {
				refused[c.gateway]++
			}
			continue
		}
		crashes, needed := d.crashedAt[c.crashing], crashesUntilKnown[c.crashing]
		for _, r := range d.history.received[c.id] {
			if len(crashes) >= needed && r.receivedAt.After(crashes[needed-1].Add(contactTime)) && d.undisrupted(r.receivedAt.Add(-contactTime), r.receivedAt) {
				arrived[c.crashing]++
			}
		}
	}
	for gateway, n := range refused {
		found = append(found, Violation{soundRequestServed, fmt.Sprintf("%s refused %d", gateway, n)})
	}
	for cause, n := range arrived {
		if n > maxRequestsAfterCrashes {
			found = append(found, Violation{crashesContained, fmt.Sprintf("%s: %d requests arrived after %d crashes and %v; %d servers crashed in all", cause, n, crashesUntilKnown[cause], contactTime, len(d.crashedAt[cause]))})
		}
	}
	return found
}
