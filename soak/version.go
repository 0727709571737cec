package soak

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/sesameswitch/sesameswitch/platform/standin"
)

const (
	// brokenShare is the fraction of the resumable streams whose caller loses its connection on
	// the way, as one in brokenShare.
	brokenShare = 3
	// minTakenUp is the number of streams from which the share of those that go on is checked.
	minTakenUp = 12
	// takeUpMargin is how much longer than all gateways may be away a caller tries to reach one.
	takeUpMargin = 500 * time.Millisecond
)

// errConnectionLost is the error of a call whose caller lost its connection on purpose.
var errConnectionLost = errors.New("soak: the caller's connection is lost")

// softwareVersions are the versions of the servers of each service.
var softwareVersions = []string{"v1", "v2"}

// streamBody returns the events of a stream after the given one, as a server of the version
// sends them for a request.
func streamBody(id, version string, after int) string {
	var b strings.Builder
	for n := after + 1; n <= eventsPerStream; n++ {
		b.WriteString(streamEvent(n, id, version))
	}
	return b.String()
}

func streamEvent(n int, id, version string) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s at %s\n\n", n, n, id, version)
}

// versionOf returns the version whose stream the body is or begins, and whether it is complete.
// It returns an empty version if there is none.
func versionOf(body, id string, after int) (version string, complete bool) {
	for _, version := range softwareVersions {
		if whole := streamBody(id, version, after); strings.HasPrefix(whole, body) {
			return version, body == whole
		}
	}
	return "", false
}

// readyServers returns the number of warm servers of the service and version that are
// listed as ready in data centres that are not evacuated.
func (d *deployment) readyServers(service, version string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, s := range d.servers {
		if s.service == service && s.SoftwareVersion == version && s.registeredState() == "ready" && !d.evacuated[s.dataCentre] && s.ColdLeft() == 0 {
			n++
		}
	}
	return n
}

// takeUp sends a request that takes up the stream of a broken call at a random gateway. It
// returns nil if nothing is left to take up, or no gateway accepts connections.
func (cl *caller) takeUp(broken *call) *call {
	if broken.route != "stream" || broken.err == nil || broken.status != http.StatusOK {
		return nil
	}
	events := strings.Count(broken.body, "\n\n")
	broken.body = strings.Join(strings.SplitAfter(broken.body, "\n\n")[:events], "") // without a part of an event
	version, complete := versionOf(broken.body, broken.id, 0)
	if events == 0 || version == "" || complete {
		return nil
	}
	cl.disconnect()
	for deadline := time.Now().Add(maxFleetKill + takeUpMargin); !cl.connect(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			return nil
		}
	}
	c := &call{
		id: broken.id + "-again", route: broken.route, key: broken.key, gateway: cl.gatewayIncarnation, timeout: longCallTimeout,
		requestBody: broken.requestBody, prompt: broken.prompt, crashing: broken.crashing, resumes: broken, after: events, version: version,
	}
	c.servers = cl.deployment.readyServers("llm", version)
	cl.send(c)
	c.servers = min(c.servers, cl.deployment.readyServers("llm", version))
	return c
}

// resumeLines returns the header lines of a request that takes up a stream.
func (c *call) resumeLines() []string {
	if c.resumes == nil {
		return nil
	}
	return standin.ResumeLines(c.after, c.resumes.id)
}

// checkStream checks what the caller received of a stream.
func (c *call) checkStream(violated func(guarantee, format string, args ...any)) {
	version, complete := versionOf(c.body, c.id, c.after)
	switch {
	case version == "":
		violated(eventOrder, "%q", c.body)
	case c.err == nil && !complete:
		violated(completeResponse, "%q", c.body)
	case c.resumes != nil && c.body != "" && version != c.version:
		violated(streamVersion, "began as %s at version %s and goes on at %s", c.resumes.id, c.version, version)
	}
}

// checkTakenUp checks that streams go on nearly as often as new ones begin, if they are taken
// up outside of disruptions while two servers of their version are ready.
func (d *deployment) checkTakenUp() []Violation {
	var begun, new, goneOn, takenUp int
	for _, c := range d.history.calls {
		if c.route != "stream" || !d.undisrupted(c.startedAt, c.endedAt) {
			continue
		}
		served := 0
		if c.status == http.StatusOK {
			served = 1
		}
		switch {
		case c.resumes == nil:
			begun, new = begun+served, new+1
		case c.servers >= 2:
			goneOn, takenUp = goneOn+served, takenUp+1
		}
	}
	if takenUp < minTakenUp || 2*goneOn*new >= begun*takenUp {
		return nil
	}
	return []Violation{{streamsGoOn, fmt.Sprintf("%d of %d go on, %d of %d new ones begin", goneOn, takenUp, begun, new)}}
}
