// Package decisionlog reads the structured log of gateways: one line for each
// decision that touched a request or changed what a process believes. It does no
// I/O beyond the reader it is given.
//
// A caller may rely on a line that cannot be read never ending the reading: it
// is counted and named by its number. What stands before a line's object, as a
// collector may add, is passed over.
package decisionlog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Events that tell what became of a request.
const (
	EventAttemptSent        = "attempt_sent"
	EventAttemptEnded       = "attempt_ended"
	EventResponseCompleted  = "answer_completed"
	EventResponseFailed     = "answer_failed"
	EventResponseTruncated  = "answer_cut"
	EventRequestRefused     = "request_refused"
	EventNoCapacity         = "request_turned_away"
	EventCallerDisconnected = "caller_gone"
)

// beliefs are the events that change what a process believes, by the topic that
// the last one of decides.
var beliefs = map[string]string{
	"config_accepted": "configuration", "store_lost": "store", "store_regained": "store", "process_state": "process",
	"backend_ready": "server", "backend_draining": "server", "backend_gone": "server", "backend_lapsed": "server", "backend_unusable": "server",
	"settings_reloaded": "settings", "settings_refused": "settings", "peer_heard": "peer", "peer_lost": "peer",
}

// Line is one line of a log.
type Line struct {
	At      time.Time
	VM      string
	Event   string
	Request string
	// Fields are the line's other fields.
	Fields map[string]any
	// order keeps lines of one time as they were read.
	order int
}

// Text is the value of a field as text; empty is none.
func (l *Line) Text(field string) string {
	value, found := l.Fields[field]
	if !found {
		return ""
	}
	if number, ok := value.(float64); ok && number == float64(int64(number)) {
		return fmt.Sprint(int64(number))
	}
	return fmt.Sprint(value)
}

// Log is what was read of the logs of several processes, in order of time.
type Log struct {
	Lines []Line
	// Unreadable counts the lines that are no event, and names the first ones.
	Unreadable      int
	FirstUnreadable []string
}

const (
	// maxLineBytes bounds one line.
	maxLineBytes = 1 << 20
	// namedLines is how many unreadable lines are named.
	namedLines = 5
)

// Read adds the lines of one log. The name stands for it in messages.
func (l *Log) Read(name string, r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for number := 1; scanner.Scan(); number++ {
		text := bytes.TrimSpace(scanner.Bytes())
		if len(text) == 0 {
			continue
		}
		line, ok := parse(text)
		if !ok {
			l.Unreadable++
			if len(l.FirstUnreadable) < namedLines {
				l.FirstUnreadable = append(l.FirstUnreadable, fmt.Sprintf("%s:%d", name, number))
			}
			continue
		}
		line.order = len(l.Lines)
		l.Lines = append(l.Lines, line)
	}
	return eris.Wrap(scanner.Err(), name)
}

// Sort orders the lines of all logs by time.
func (l *Log) Sort() {
	sort.SliceStable(l.Lines, func(i, j int) bool {
		if !l.Lines[i].At.Equal(l.Lines[j].At) {
			return l.Lines[i].At.Before(l.Lines[j].At)
		}
		return l.Lines[i].order < l.Lines[j].order
	})
}

// parse reads the object in a line.
func parse(text []byte) (Line, bool) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal(text[begin:], &fields); err != nil {
		return Line{}, false
	}
	line := Line{Fields: fields}
	line.Event, _ = fields["event"].(string)
	line.VM, _ = fields["vm"].(string)
	line.Request, _ = fields["request"].(string)
	at, _ := fields["time"].(string)
	parsed, err := time.Parse(time.RFC3339Nano, at)
	if err != nil || line.Event == "" {
		return Line{}, false
	}
	line.At = parsed
	for _, field := range []string{"event", "vm", "request", "time", "msg", "level"} {
		delete(fields, field)
	}
	return line, true
}

// Explanation is the way of one request.
type Explanation struct {
	// Lines are those of the request itself, in order.
	Lines []Line
	// Beliefs are the last lines before the request's end that told what its
	// gateways believed of what it met.
	Beliefs []Line
	Cause   string
}

// Explain returns the way of the request over all gateways, with the beliefs
// that decided it. It returns nil when no line names the request.
func (l *Log) Explain(id string) *Explanation {
	e := &Explanation{}
	met := make(map[string]bool)
	gateways := make(map[string]bool)
	for i := range l.Lines {
		line := &l.Lines[i]
		if line.Request != id {
			continue
		}
		e.Lines = append(e.Lines, *line)
		gateways[line.VM] = true
		if server := line.Text("server"); server != "" {
			met[server] = true
		}
	}
	if len(e.Lines) == 0 {
		return nil
	}
	e.Beliefs = l.beliefsBefore(e.Lines[len(e.Lines)-1].At, gateways, met)
	e.Cause = cause(e.Lines)
	return e
}

// beliefsBefore returns the last line on each topic that the gateways had until
// a time.
func (l *Log) beliefsBefore(until time.Time, gateways, servers map[string]bool) []Line {
	last := make(map[string]Line)
	for i := range l.Lines {
		line := &l.Lines[i]
		topic := beliefs[line.Event]
		if line.At.After(until) || topic == "" || topic == "peer" || !gateways[line.VM] {
			continue
		}
		if topic == "server" {
			if !servers[line.Text("server")] {
				continue
			}
			topic += " " + line.Text("server")
		}
		last[line.VM+" "+topic] = *line
	}
	var lines []Line
	for _, line := range last {
		lines = append(lines, line)
	}
	sort.Slice(lines, func(i, j int) bool {
		if lines[i].At.Equal(lines[j].At) {
			return lines[i].order < lines[j].order
		}
		return lines[i].At.Before(lines[j].At)
	})
	return lines
}

// cause words what the last lines of a request say.
func cause(lines []Line) string {
	final, failures := "", []string{}
	for i := range lines {
		line := &lines[i]
		switch line.Event {
		case EventAttemptEnded:
			if result := line.Text("result"); result != "delivered" {
				failures = append(failures, strings.TrimSpace(fmt.Sprintf("%s at %s %s", result, line.Text("server"), line.Text("cause"))))
			}
		case EventResponseCompleted:
			final = fmt.Sprintf("answered with %s after %s ms, first byte after %s ms, longest pause %s ms", line.Text("status"), line.Text("after_ms"), line.Text("first_ms"), line.Text("pause_ms"))
		case EventResponseFailed:
			final = "a backend server's own failure was passed on, status " + line.Text("status")
		case EventResponseTruncated:
			final = fmt.Sprintf("cut after %s events: %s", line.Text("events"), line.Text("reason"))
		case EventRequestRefused:
			final = fmt.Sprintf("refused with %s: %s", line.Text("status"), line.Text("reason"))
		case EventCallerDisconnected:
			final = "the caller left after " + line.Text("after_ms") + " ms"
		}
	}
	if final == "" {
		final = "no final line: the process ended, the log was lost, or it is still under way"
	}
	if len(failures) > 0 {
		final += "; before: " + strings.Join(failures, "; ")
	}
	return final
}

// Count is how often something happened.
type Count struct {
	Key         string `json:"what"`
	Occurrences int    `json:"times"`
}

// Summary sums up a window of time.
type Summary struct {
	From, Until time.Time
	Lines       int
	// Outcomes counts final answers by route and outcome, Attempts the ends of
	// sends by backend server and result, Beliefs the changes by event.
	Outcomes, Attempts, Beliefs []Count
	// Dropped is how many log lines the processes had to drop.
	Dropped int
}

// Summarize sums up the lines of a window; zero times are no bound.
func (l *Log) Summarize(from, until time.Time) *Summary {
	outcomes, attempts, changes := map[string]int{}, map[string]int{}, map[string]int{}
	s := &Summary{From: from, Until: until}
	for i := range l.Lines {
		line := &l.Lines[i]
		if !from.IsZero() && line.At.Before(from) || !until.IsZero() && line.At.After(until) {
			continue
		}
		s.Lines++
		switch line.Event {
		case EventResponseCompleted, EventResponseFailed, EventResponseTruncated, EventRequestRefused, EventCallerDisconnected:
			outcomes[outcomeKey(line)]++
		case EventAttemptEnded:
			attempts[line.Text("server")+" "+line.Text("result")]++
		case "log_lines_dropped":
			if dropped, ok := line.Fields["dropped"].(float64); ok {
				s.Dropped += int(dropped)
			}
		default:
			if beliefs[line.Event] != "" {
				changes[line.Event]++
			}
		}
	}
	s.Outcomes, s.Attempts, s.Beliefs = counts(outcomes), counts(attempts), counts(changes)
	return s
}

func outcomeKey(line *Line) string {
	parts := []string{line.Text("route"), line.Event, line.Text("status"), line.Text("reason")}
	return strings.Join(slices.DeleteFunc(parts, func(part string) bool { return part == "" }), " ")
}

// counts returns the entries, the most frequent first.
func counts(of map[string]int) []Count {
	list := make([]Count, 0, len(of))
	for what, times := range of {
		list = append(list, Count{what, times})
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Occurrences != list[j].Occurrences {
			return list[i].Occurrences > list[j].Occurrences
		}
		return list[i].Key < list[j].Key
	})
	return list
}
