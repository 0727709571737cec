package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/processstatus"
	"github.com/sesameswitch/sesameswitch/testbed"
	"github.com/sesameswitch/sesameswitch/timeline"
)

// printTimeline prints the time line of one request, merged from all processes
// except the killed agent, which does not respond.
func printTimeline(running *runningDeployment, requestID string, out io.Writer) error {
	var lists [][]timeline.Event
	for _, p := range append(running.entries, running.agents...) {
		if p == running.killedAgent {
			continue
		}
		events, err := fetchEvents(p, requestID)
		if err != nil {
			return err
		}
		lists = append(lists, events)
	}
	fmt.Fprintf(out, "time line of the slowest completed request, %s:\n", requestID)
	for _, e := range timeline.Merge(lists...) {
		fmt.Fprintf(out, "  %s  %-18s %-17s %s %s\n", e.Time.Format("15:04:05.000000"), e.Process.VM, e.Kind, e.Attributes.Peer, e.Detail)
	}
	return nil
}

// fetchEvents reads the events of one request from a process.
func fetchEvents(p *testbed.Process, requestID string) ([]timeline.Event, error) {
	response, err := http.Get("http://" + p.Address("admin") + processstatus.PathTimeline + "?request=" + requestID)
	if err != nil {
		return nil, eris.Wrap(err, "demo: read time line")
	}
	defer func() { _ = response.Body.Close() }() // the body was read to its end
	var events []timeline.Event
	decoder := json.NewDecoder(response.Body)
	for {
		var e timeline.Event
		if err := decoder.Decode(&e); err == io.EOF {
			return events, nil
		} else if err != nil {
			return nil, eris.Wrap(err, "demo: read time line")
		}
		events = append(events, e)
	}
}
