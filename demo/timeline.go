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

// printWay prints the way of one request through the processes.
func printWay(s *site, requestID string, out io.Writer) error {
	var lists [][]timeline.Event
	for _, p := range append(s.entries, s.agents...) {
		if p == s.victim {
			continue
		}
		events, err := events(p, requestID)
		if err != nil {
			return err
		}
		lists = append(lists, events)
	}
	fmt.Fprintf(out, "the way of the slowest completed request, %s:\n", requestID)
	for _, e := range timeline.Merge(lists...) {
		fmt.Fprintf(out, "  %s  %-18s %-17s %s %s\n", e.Time.Format("15:04:05.000000"), e.Process.VM, e.Kind, e.Attributes.Peer, e.Detail)
	}
	return nil
}

// events asks a process for its events on a request.
func events(p *testbed.Process, requestID string) ([]timeline.Event, error) {
	response, err := http.Get("http://" + p.Address("admin") + processstatus.PathTimeline + "?request=" + requestID)
	if err != nil {
		return nil, eris.Wrap(err, "demo: time line")
	}
	defer func() { _ = response.Body.Close() }() // it is read to its end
	var list []timeline.Event
	decoder := json.NewDecoder(response.Body)
	for {
		var e timeline.Event
		if err := decoder.Decode(&e); err == io.EOF {
			return list, nil
		} else if err != nil {
			return nil, eris.Wrap(err, "demo: time line")
		}
		list = append(list, e)
	}
}
