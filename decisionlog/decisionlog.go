// Package decisionlog reads the structured logs of gateways: one line for each
// decision about a request and for each state change that a process observed.
// It does no I/O other than reading from the reader that it is given.
//
// Callers may assume that an unreadable line does not stop the reading: unreadable
// lines are counted, and the first ones are listed by line number. Only a line
// longer than 1 MiB or an error of the reader stops the reading. Text before the
// JSON object of a line, which a log collector may add, is ignored.
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

// Events about a request. The values are event names in the log.
const (
	EventAttemptSent        = "attempt_sent"
	EventAttemptEnded       = "attempt_ended"
	EventResponseCompleted  = "answer_completed"
	EventResponseFailed     = "answer_failed"
	EventResponseTruncated  = "answer_cut"
	EventRequestRefused     = "request_refused"
	EventNoCapacity         = "request_turned_away"
	EventCallerDisconnected = "caller_gone"
	EventRetryDecided       = "retry_decided"
	EventLateResponse       = "late_response"
	EventServerLimited      = "backend_limited"
	EventServerUnlimited    = "backend_unlimited"
	EventServerCrashed      = "backend_crashed"
	EventQuarantineStarted  = "quarantine_started"
	EventQuarantineLifted   = "quarantine_lifted"
	EventQuarantineTrial    = "quarantine_trial"
	EventRequestQuarantined = "request_quarantined"
)

// stateTopics maps each event that reports a state change to its topic. The state
// that a process knew for a topic is given by the last event on it.
var stateTopics = map[string]string{
	"config_accepted": "configuration", "store_lost": "store", "store_regained": "store", "process_state": "process",
	"backend_ready": "server", "backend_leaving": "server", "backend_paused": "server", "backend_limited": "server", "backend_unlimited": "server", "backend_draining": "server", "backend_gone": "server", "backend_lapsed": "server", "backend_unusable": "server", "backend_doubted": "server", "backend_replaced": "server", "backend_crashed": "server",
	"quarantine_started": "quarantine", "quarantine_confirmed": "quarantine", "quarantine_lifted": "quarantine",
	"settings_reloaded": "settings", "settings_refused": "settings", "peer_heard": "peer", "peer_lost": "peer",
	"gateways_counted": "gateways", "process_paused": "pause", "store_era": "store era", eventEvacuated: "evacuation", eventRestored: "evacuation",
}

// Line is one line of a log. The JSON output uses the names of the fields.
type Line struct {
	At      time.Time
	VM      string
	Event   string
	Request string
	// Fields holds the remaining fields of the line.
	Fields map[string]any
	// index is the position of the line in the order of reading; it orders lines
	// of the same time.
	index int
}

// Text returns the value of a field as text, or an empty string if the line has
// no such field.
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

// Log holds the lines of the logs of one or more processes.
type Log struct {
	Lines []Line
	// Unreadable is the number of lines that are neither empty nor events.
	// FirstUnreadable lists the first of them as NAME:LINE.
	Unreadable      int
	FirstUnreadable []string
}

const (
	// maxLineBytes limits the length of one line. Read fails at a longer line.
	maxLineBytes = 1 << 20
	// maxListedUnreadable limits the length of FirstUnreadable.
	maxListedUnreadable = 5
)

// Read appends the lines of one log. The name identifies the log in
// FirstUnreadable and in errors.
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
			if len(l.FirstUnreadable) < maxListedUnreadable {
				l.FirstUnreadable = append(l.FirstUnreadable, fmt.Sprintf("%s:%d", name, number))
			}
			continue
		}
		line.index = len(l.Lines)
		l.Lines = append(l.Lines, line)
	}
	return eris.Wrap(scanner.Err(), name)
}

// Sort sorts the lines of all logs by time. Lines of the same time keep the
// order in which they were read.
func (l *Log) Sort() {
	sort.SliceStable(l.Lines, func(i, j int) bool {
		if !l.Lines[i].At.Equal(l.Lines[j].At) {
			return l.Lines[i].At.Before(l.Lines[j].At)
		}
		return l.Lines[i].index < l.Lines[j].index
	})
}

// parse decodes the JSON object in a line. It returns false if the line is not
// an event.
func parse(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal(text[start:], &fields); err != nil {
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

// Explanation describes the path of one request. Cause summarizes its final
// result and the attempts that failed before it. The JSON output uses the names
// of the fields.
type Explanation struct {
	// Lines are the lines about the request itself, in order.
	Lines []Line
	// Beliefs are the last state changes that the request's gateways logged
	// before the request ended: one line for each gateway and topic; for the topic
	// "server", one for each backend server that the request's lines mention.
	Beliefs []Line
	Cause   string
}

// Explain returns the path of the request through all gateways, with the state
// that the gateways knew at its end. It returns nil if no line refers to the
// request. Call Sort first.
func (l *Log) Explain(id string) *Explanation {
	e := &Explanation{}
	servers := make(map[string]bool)
	gateways := make(map[string]bool)
	for i := range l.Lines {
		line := &l.Lines[i]
		if line.Request != id {
			continue
		}
		e.Lines = append(e.Lines, *line)
		gateways[line.VM] = true
		if server := line.Text("server"); server != "" {
			servers[server] = true
		}
	}
	if len(e.Lines) == 0 {
		return nil
	}
	e.Beliefs = l.lastStates(e.Lines[len(e.Lines)-1].At, gateways, servers)
	e.Cause = cause(e.Lines)
	return e
}

// lastStates returns the last line on each topic that each gateway logged until
// the given time, sorted by time. On the topic "server" it returns the last line
// for each of the given servers, on the topic "quarantine" that for each rule, on the
// topic "evacuation" that for each data centre. The topic "peer" is left out.
func (l *Log) lastStates(until time.Time, gateways, servers map[string]bool) []Line {
	last := make(map[string]Line)
	for i := range l.Lines {
		line := &l.Lines[i]
		topic := stateTopics[line.Event]
		if line.At.After(until) || topic == "" || topic == "peer" || !gateways[line.VM] {
			continue
		}
		if topic == "server" {
			if !servers[line.Text("server")] {
				continue
			}
			topic += " " + line.Text("server")
		}
		if topic == "quarantine" {
			topic += " " + line.Text("traits")
		}
		if topic == "evacuation" {
			topic += " " + line.Text("data_centre")
		}
		last[line.VM+" "+topic] = *line
	}
	var lines []Line
	for _, line := range last {
		lines = append(lines, line)
	}
	sort.Slice(lines, func(i, j int) bool {
		if lines[i].At.Equal(lines[j].At) {
			return lines[i].index < lines[j].index
		}
		return lines[i].At.Before(lines[j].At)
	})
	return lines
}

// cause summarizes the lines of a request in one sentence.
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

// Count is the number of occurrences of one kind of result or event.
type Count struct {
	Key         string `json:"what"`
	Occurrences int    `json:"times"`
}

// Summary counts the lines and events in a time window. The JSON output uses the
// names of the fields.
type Summary struct {
	From, Until time.Time
	Lines       int
	// Outcomes counts the final responses and the disconnected callers by route
	// and outcome, Attempts the ends of attempts by backend server and result,
	// Beliefs the state changes by event.
	Outcomes, Attempts, Beliefs []Count
	// Dropped is the number of log lines that the processes reported as dropped.
	Dropped int
}

// Summarize counts the events from one time to another, both included. A zero
// time leaves that side of the window open.
func (l *Log) Summarize(from, until time.Time) *Summary {
	outcomes, attempts, stateChanges := map[string]int{}, map[string]int{}, map[string]int{}
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
			if stateTopics[line.Event] != "" {
				stateChanges[line.Event]++
			}
		}
	}
	s.Outcomes, s.Attempts, s.Beliefs = counts(outcomes), counts(attempts), counts(stateChanges)
	return s
}

// outcomeKey returns the route, event, status and reason of a line, as far as it
// has them.
func outcomeKey(line *Line) string {
	parts := []string{line.Text("route"), line.Event, line.Text("status"), line.Text("reason")}
	return strings.Join(slices.DeleteFunc(parts, func(part string) bool { return part == "" }), " ")
}

// counts returns the entries of the map, the most frequent first.
func counts(byKey map[string]int) []Count {
	list := make([]Count, 0, len(byKey))
	for key, occurrences := range byKey {
		list = append(list, Count{key, occurrences})
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Occurrences != list[j].Occurrences {
			return list[i].Occurrences > list[j].Occurrences
		}
		return list[i].Key < list[j].Key
	})
	return list
}
