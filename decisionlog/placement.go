package decisionlog

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/rotisserie/eris"
)

// Reasons why a request was sent to a data centre under evacuation.
const (
	// ReasonNotKnown: the gateway did not know of the evacuation yet.
	ReasonNotKnown = "not known yet"
	// ReasonBegunBefore: the attempt began before any gateway knew, and was written later.
	ReasonBegunBefore = "begun before"
	// ReasonResumed, ReasonRetry and ReasonNew: the gateway knew, and sent a resumed stream, a
	// retry or the first attempt of a request all the same.
	ReasonResumed = "resumed stream"
	ReasonRetry   = "retry"
	ReasonNew     = "new request"
)

// Evacuation is a period in which a data centre was evacuated, as far as the gateways
// observed it. The JSON output uses the names of the fields.
type Evacuation struct {
	// From is when the first gateway knew of it, Until when the first one knew of its end; zero
	// if none did.
	From, Until time.Time
}

// LateRequest is a request that was sent to a data centre under evacuation. The JSON output
// uses the names of the fields.
type LateRequest struct {
	// At is when the request began to be written, or when the attempt began if that was not
	// logged.
	At                          time.Time
	VM, Request, Server, Reason string
}

// GatewayPlacement is what one gateway sent to a data centre. The JSON output uses the names
// of the fields.
type GatewayPlacement struct {
	VM string
	// Requests counts the attempts that may have reached a server of the data centre, LastAt is
	// when the last of them was sent; zero if there was none.
	Requests int
	LastAt   time.Time
	// Known lists the periods in which the gateway knew of an evacuation.
	Known []Evacuation
	// Late counts by reason the requests that were sent during an evacuation.
	Late map[string]int
}

// Placement is which gateways sent requests to the backend servers of a data centre. The JSON
// output uses the names of the fields.
type Placement struct {
	DataCentre  string
	Evacuations []Evacuation
	// Gateways lists the gateways that sent requests there or knew of an evacuation, by name.
	Gateways []GatewayPlacement
	// Late lists the first late requests in order of time, at most as many as were asked for. LateTotal is the number of all.
	Late      []LateRequest
	LateTotal int
	// WithoutDataCentre counts the attempts whose line names no data centre, as gateways of
	// earlier versions write them.
	WithoutDataCentre int
}

// KnownLate returns the number of late requests that gateways sent although they knew of the
// evacuation.
func (p *Placement) KnownLate() int {
	n := 0
	for _, g := range p.Gateways {
		n += g.Late[ReasonResumed] + g.Late[ReasonRetry] + g.Late[ReasonNew]
	}
	return n
}

// Source is a log that can be read several times.
type Source struct {
	Name string
	Open func() (io.ReadCloser, error)
}

// ReadPlacement reads the logs of gateways twice, line by line, and returns which of them
// sent requests to the data centre. It needs memory for the attempts in flight, for the changes
// of the evacuation, and for maxListed late requests, but not for the logs. The lines of each
// gateway must be in order of time, over all logs in the given order.
//
// Times of different gateways are compared, so that the result is as accurate as their clocks
// agree. It returns an error if a log cannot be read.
func ReadPlacement(dataCentre string, maxListed int, sources []Source) (*Placement, error) {
	var changes []evacuationChange
	for _, source := range sources {
		err := source.scan(evacuationEvents, func(line *Line) {
			if line.Text("data_centre") == dataCentre {
				changes = append(changes, newEvacuationChange(line))
			}
		})
		if err != nil {
			return nil, err
		}
	}
	reader := &placementReader{
		placement: &Placement{DataCentre: dataCentre, Evacuations: evacuationsOf(changes)}, maxListed: maxListed,
		gateways: make(map[string]*gatewayReader),
	}
	for _, source := range sources {
		if err := source.scan(placementEvents, reader.read); err != nil {
			return nil, err
		}
	}
	return reader.finish(), nil
}

// Events about an evacuation. The values are event names in the log.
const (
	eventEvacuated = "data_centre_evacuated"
	eventRestored  = "data_centre_restored"
	eventStarted   = "started"
)

var (
	evacuationEvents = []string{eventEvacuated, eventRestored}
	placementEvents  = []string{eventEvacuated, eventRestored, eventStarted, EventAttemptSent, EventAttemptEnded}
)

// scan passes each line with one of the events to read. Lines that contain none of their
// names are not decoded.
func (s *Source) scan(events []string, read func(line *Line)) error {
	input, err := s.Open()
	if err != nil {
		return eris.Wrap(err, "open log")
	}
	defer input.Close()
	names := make([][]byte, len(events))
	for i, event := range events {
		names[i] = fmt.Appendf(nil, "%q", event)
	}
	scanner := bufio.NewScanner(input)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		for i, name := range names {
			if !bytes.Contains(scanner.Bytes(), name) {
				continue
			}
			if line, ok := parse(scanner.Bytes()); ok && line.Event == events[i] {
				read(&line)
				break
			}
		}
	}
	return eris.Wrap(scanner.Err(), s.Name)
}

// evacuationChange is the begin or the end of an evacuation as one gateway observed it.
type evacuationChange struct {
	at        time.Time
	evacuated bool
	// revision is the store revision of the change.
	revision float64
}

func newEvacuationChange(line *Line) evacuationChange {
	revision, _ := line.Fields["revision"].(float64) // zero if it is missing
	return evacuationChange{line.At, line.Event == eventEvacuated, revision}
}

// evacuationsOf returns the periods from the first gateway that observed the begin to the
// first that observed the end. A begin with a revision before the last end is that of an
// earlier period, which a gateway learnt late.
func evacuationsOf(changes []evacuationChange) []Evacuation {
	sort.SliceStable(changes, func(i, j int) bool { return changes[i].at.Before(changes[j].at) })
	var evacuations []Evacuation
	open, ended := false, 0.0
	for _, c := range changes {
		switch {
		case c.evacuated && !open && (c.revision == 0 || c.revision > ended):
			evacuations = append(evacuations, Evacuation{From: c.at})
			open = true
		case !c.evacuated && open:
			evacuations[len(evacuations)-1].Until = c.at
			open, ended = false, c.revision
		}
	}
	return evacuations
}

// contains reports whether the period contains the time. A period without an end is open.
func (e Evacuation) contains(at time.Time) bool {
	return !at.Before(e.From) && (e.Until.IsZero() || at.Before(e.Until))
}

// placementReader counts the requests to a data centre.
type placementReader struct {
	placement *Placement
	maxListed int
	gateways  map[string]*gatewayReader
}

// gatewayReader is what was read of one gateway.
type gatewayReader struct {
	GatewayPlacement
	// open holds the attempts in flight at servers of the data centre, by request.
	open map[string]openAttempt
}

// openAttempt is an attempt that was sent to a server of the data centre.
type openAttempt struct {
	sentAt         time.Time
	server         string
	retry, resumed bool
}

// knows reports whether the gateway knows of an evacuation at the end of what was read.
func (g *gatewayReader) knows() bool {
	return len(g.Known) > 0 && g.Known[len(g.Known)-1].Until.IsZero()
}

// knewAt reports whether the gateway knew of an evacuation.
func (g *gatewayReader) knewAt(at time.Time) bool {
	for _, known := range g.Known {
		if known.contains(at) {
			return true
		}
	}
	return false
}

func (r *placementReader) gateway(vm string) *gatewayReader {
	g := r.gateways[vm]
	if g == nil {
		g = &gatewayReader{GatewayPlacement: GatewayPlacement{VM: vm, Late: make(map[string]int)}, open: make(map[string]openAttempt)}
		r.gateways[vm] = g
	}
	return g
}

// read reads the next line of a gateway.
func (r *placementReader) read(line *Line) {
	inDataCentre := line.Text("data_centre") == r.placement.DataCentre
	switch line.Event {
	case eventEvacuated, eventRestored:
		if inDataCentre {
			r.gateway(line.VM).learn(line)
		}
	case eventStarted: // it knows nothing yet; what it had in flight was lost
		g := r.gateway(line.VM)
		if g.knows() {
			g.Known[len(g.Known)-1].Until = line.At
		}
		r.closeAll(g)
	case EventAttemptSent:
		if line.Text("data_centre") == "" {
			r.placement.WithoutDataCentre++
		}
		if inDataCentre {
			sends, _ := line.Fields["sends"].(float64)
			after, _ := line.Fields["resume_after"].(float64)
			r.gateway(line.VM).open[line.Request] = openAttempt{sentAt: line.At, server: line.Text("server"), retry: sends > 0, resumed: after > 0}
		}
	case EventAttemptEnded:
		r.end(line)
	}
}

// learn records that the gateway learnt of an evacuation or of its end.
func (g *gatewayReader) learn(line *Line) {
	switch {
	case line.Event == eventEvacuated && !g.knows():
		g.Known = append(g.Known, Evacuation{From: line.At})
	case line.Event == eventRestored && g.knows():
		g.Known[len(g.Known)-1].Until = line.At
	}
}

// end counts the attempt that has ended, unless it did not reach the server.
func (r *placementReader) end(line *Line) {
	g := r.gateway(line.VM)
	attempt, isOpen := g.open[line.Request]
	if !isOpen || attempt.server != line.Text("server") {
		return
	}
	delete(g.open, line.Request)
	if notReached[line.Text("result")] {
		return
	}
	written, _ := line.Fields["written_ms"].(float64) // zero if it was not logged
	r.count(g, line.Request, attempt, attempt.sentAt.Add(time.Duration(written)*time.Millisecond))
}

// closeAll counts the attempts of a gateway whose end was not logged.
func (r *placementReader) closeAll(g *gatewayReader) {
	requests := make([]string, 0, len(g.open))
	for request := range g.open {
		requests = append(requests, request)
	}
	sort.Strings(requests)
	for _, request := range requests {
		r.count(g, request, g.open[request], g.open[request].sentAt)
		delete(g.open, request)
	}
}

// count counts an attempt that was written at the given time.
func (r *placementReader) count(g *gatewayReader, request string, attempt openAttempt, at time.Time) {
	g.Requests++
	if at.After(g.LastAt) {
		g.LastAt = at
	}
	evacuation := r.evacuationAt(at)
	if evacuation == nil {
		return
	}
	late := LateRequest{At: at, VM: g.VM, Request: request, Server: attempt.server, Reason: g.reason(evacuation, attempt, at)}
	g.Late[late.Reason]++
	r.placement.LateTotal++
	r.placement.Late = append(r.placement.Late, late)
	if len(r.placement.Late) > 2*r.maxListed+1 { // so that each late request is sorted a few times at most
		r.trim()
	}
}

// trim sorts the late requests and keeps the first ones.
func (r *placementReader) trim() {
	list := r.placement.Late
	sort.SliceStable(list, func(i, j int) bool { return list[i].At.Before(list[j].At) })
	r.placement.Late = list[:min(len(list), r.maxListed)]
}

// evacuationAt returns the evacuation at the given time, or nil.
func (r *placementReader) evacuationAt(at time.Time) *Evacuation {
	for i := range r.placement.Evacuations {
		if r.placement.Evacuations[i].contains(at) {
			return &r.placement.Evacuations[i]
		}
	}
	return nil
}

// reason returns why the gateway sent a late request.
func (g *gatewayReader) reason(evacuation *Evacuation, attempt openAttempt, at time.Time) string {
	switch {
	case !g.knewAt(at) && attempt.sentAt.Before(evacuation.From):
		return ReasonBegunBefore
	case !g.knewAt(at):
		return ReasonNotKnown
	case attempt.resumed:
		return ReasonResumed
	case attempt.retry:
		return ReasonRetry
	default:
		return ReasonNew
	}
}

// finish returns the result.
func (r *placementReader) finish() *Placement {
	p := r.placement
	for _, g := range r.gateways {
		r.closeAll(g)
		if g.Requests > 0 || len(g.Known) > 0 {
			p.Gateways = append(p.Gateways, g.GatewayPlacement)
		}
	}
	r.trim()
	sort.Slice(p.Gateways, func(i, j int) bool { return p.Gateways[i].VM < p.Gateways[j].VM })
	return p
}
