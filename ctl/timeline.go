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

// maxLineBytes bounds one event in a file or an answer.
const maxLineBytes = 1 << 20

// Timeline merges the time lines of several processes.
type Timeline struct {
	Processes `embed:""`
	File      []string `short:"f" type:"existingfile" help:"File of events as JSON lines; can be repeated."`
	Request   string   `short:"r" placeholder:"ID" help:"Only events of this request."`
	Follow    bool     `help:"Go on with events as they happen, until interrupted."`
}

// Run prints the events of all processes in order. A process that does not
// answer is a fault; the events of the others are printed.
func (t *Timeline) Run(ctx context.Context, out *Output) error {
	urls, err := t.urls(ctx)
	if err != nil {
		return err
	}
	if len(urls)+len(t.File) == 0 {
		return eris.New("no events to read: name processes by --process or --vm-list, or files by --file")
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
	fetched, silent := t.fetch(ctx, urls)
	if err := writeEvents(out, timeline.Merge(append(lists, fetched...)...)); err != nil {
		return err
	}
	if len(silent) > 0 {
		return &ProblemError{Message: strings.Join(silent, "; ")}
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

// fetch asks every process at once and returns their events and the faults of
// those that did not answer.
func (t *Timeline) fetch(ctx context.Context, urls []string) (lists [][]timeline.Event, silent []string) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	lists = make([][]timeline.Event, len(urls))
	faults := make([]error, len(urls))
	var group errgroup.Group
	group.SetLimit(maxParallelRequests)
	for i, u := range urls {
		group.Go(func() error {
			faults[i] = streamEvents(ctx, u, t.Request, false, func(e timeline.Event) {
				lists[i] = append(lists[i], e)
			})
			return nil
		})
	}
	_ = group.Wait() // no question returns an error
	for i, fault := range faults {
		if fault != nil {
			silent = append(silent, urls[i]+": "+fault.Error())
		}
	}
	return lists, silent
}

// streamEvents hands each event that a process sends to use.
func streamEvents(ctx context.Context, base, request string, follow bool, use func(timeline.Event)) error {
	query := url.Values{}
	if request != "" {
		query.Set("request", request)
	}
	if follow {
		query.Set("follow", "true")
	}
	address := base + processstatus.PathTimeline
	if len(query) > 0 {
		address += "?" + query.Encode()
	}
	answer, err := httpGet(ctx, address)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	return readEvents(answer.Body, use)
}

func readEvents(r io.Reader, use func(timeline.Event)) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		var e timeline.Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return eris.Wrap(err, "event")
		}
		use(e)
	}
	return lines.Err()
}

// writeEvents writes one line an event, as text or JSON.
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
		out.printf("%s\n", eventLine(&events[i]))
	}
	return nil
}

// timeLayout shows microseconds.
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
