package ctl

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"strings"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/sesameswitch/sesameswitch/processstatus"
	"github.com/sesameswitch/sesameswitch/timeline"
)

// maxLineBytes is the maximum size of one event in a file or a response.
const maxLineBytes = 1 << 20

// Timeline is the subcommand that merges the time lines of several processes.
type Timeline struct {
	Processes `embed:""`
	File      []string `short:"f" type:"existingfile" help:"File with events as JSON lines; can be repeated."`
	Request   string   `short:"r" placeholder:"ID" help:"Show only events of this request."`
	Follow    bool     `help:"Continue with new events until interrupted."`
}

// Run prints the events of all processes and files in order of time. If a process
// does not respond, Run prints the events of the others and returns a ProblemError.
func (t *Timeline) Run(ctx context.Context, out *Output) error {
	urls, err := t.urls(ctx)
	if err != nil {
		return err
	}
	if len(urls)+len(t.File) == 0 {
		return eris.New("no events to read: use --process, --vm-list or --file")
	}
	lists, err := t.readFiles()
	if err != nil {
		return err
	}
	if t.Follow {
		if err := writeEvents(out, timeline.Merge(lists...)); err != nil {
			return err
		}
		return follow(ctx, out, urls, t.Request)
	}
	fetched, failures := t.fetch(ctx, urls)
	if err := writeEvents(out, timeline.Merge(append(lists, fetched...)...)); err != nil {
		return err
	}
	if len(failures) > 0 {
		return &ProblemError{Message: strings.Join(failures, "; ")}
	}
	return nil
}

func (t *Timeline) readFiles() ([][]timeline.Event, error) {
	var lists [][]timeline.Event
	for _, file := range t.File {
		document, err := readFile(file)
		if err != nil {
			return nil, err
		}
		var events []timeline.Event
		err = readEvents(bytes.NewReader(document), func(e timeline.Event) {
			if t.Request == "" || e.RequestID == t.Request {
				events = append(events, e)
			}
		})
		if err != nil {
			return nil, eris.Wrap(err, file)
		}
		lists = append(lists, events)
	}
	return lists, nil
}

// fetch requests the events of all processes in parallel. It returns the events of
// each process and the errors of those that did not respond.
func (t *Timeline) fetch(ctx context.Context, urls []string) (lists [][]timeline.Event, failures []string) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	lists = make([][]timeline.Event, len(urls))
	errs := make([]error, len(urls))
	var group errgroup.Group
	group.SetLimit(maxParallelRequests)
	for i, u := range urls {
		group.Go(func() error {
			errs[i] = streamEvents(ctx, u, t.Request, false, func(e timeline.Event) {
				lists[i] = append(lists[i], e)
			})
			return nil
		})
	}
	_ = group.Wait() // the functions never return an error
	for i, err := range errs {
		if err != nil {
			failures = append(failures, urls[i]+": "+err.Error())
		}
	}
	return lists, failures
}

// streamEvents calls handle for each event that a process sends. With follow, it
// returns only when the connection or ctx ends.
func streamEvents(ctx context.Context, base, request string, follow bool, handle func(timeline.Event)) error {
	query := url.Values{}
	if request != "" {
		query.Set("request", request)
	}
	if follow {
		query.Set("follow", "true")
	}
	requestURL := base + processstatus.PathTimeline
	if len(query) > 0 {
		requestURL += "?" + query.Encode()
	}
	resp, err := httpGet(ctx, requestURL)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return readEvents(resp.Body, handle)
}

func readEvents(r io.Reader, handle func(timeline.Event)) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if len(bytes.TrimSpace(scanner.Bytes())) == 0 {
			continue
		}
		var e timeline.Event
		if err := json.Unmarshal(scanner.Bytes(), &e); err != nil {
			return eris.Wrap(err, "decode event")
		}
		handle(e)
	}
	return scanner.Err()
}

// writeEvents writes one line for each event, as text or JSON.
func writeEvents(out *Output, events []timeline.Event) error {
	if out.Format == FormatJSON {
		encoder := json.NewEncoder(out.Writer)
		for i := range events {
			if err := encoder.Encode(&events[i]); err != nil {
				return eris.Wrap(err, "write event")
			}
		}
		return nil
	}
	for i := range events {
		if _, err := fmt.Fprintln(out.Writer, eventLine(&events[i])); err != nil {
			return eris.Wrap(err, "write event")
		}
	}
	return nil
}

// timeLayout is RFC 3339 with microseconds.
const timeLayout = "2006-01-02T15:04:05.000000Z07:00"

func eventLine(e *timeline.Event) string {
	line := fmt.Sprintf("%s  %-6s %-18s %6d  %-17s", e.Time.UTC().Format(timeLayout), e.Process.Role, e.Process.VM, e.Seq, e.Kind)
	if e.RequestID != "" {
		line += "  request=" + e.RequestID
	}
	line += attributesText(&e.Attributes)
	if e.Detail != "" {
		line += "  " + e.Detail
	}
	return line
}

// attributesText returns the attributes that are not empty or zero as name=value.
func attributesText(a *timeline.Attributes) string {
	var b strings.Builder
	add := func(name, value string) {
		if value != "" && value != "0" {
			b.WriteString("  " + name + "=" + value)
		}
	}
	add("class", a.Class)
	add("account", a.Account)
	add("peer", a.Peer)
	add("attempt", fmt.Sprint(a.Attempt))
	add("config", fmt.Sprint(a.ConfigVersion))
	add("outcome", a.Outcome)
	add("reason", a.Reason)
	return b.String()
}
