package prove

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/sesameswitch/sesameswitch/processstatus"
	"github.com/sesameswitch/sesameswitch/timeline"
)

// timeFormat is the format of the times in the full time line. All times are in
// UTC, so that the lines of one day sort by time.
const timeFormat = "15:04:05.000000"

// shutdown is the start of a graceful shutdown of a member.
type shutdown struct {
	member      string
	incarnation string
	at          time.Duration
}

// fetchTimeline returns the events that a member currently holds in its time line.
func (c *cluster) fetchTimeline(m *member) ([]timeline.Event, error) {
	response, err := c.client.Get("http://" + m.adminAddress + processstatus.PathTimeline)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var events []timeline.Event
	decoder := json.NewDecoder(response.Body)
	for decoder.More() {
		var e timeline.Event
		if err := decoder.Decode(&e); err != nil {
			return events, err
		}
		events = append(events, e)
	}
	return events, nil
}

// saveTimeline saves the events of a member that is about to end. Events of a
// member that does not respond are lost.
func (c *cluster) saveTimeline(m *member) {
	events, _ := c.fetchTimeline(m)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.savedEvents = append(c.savedEvents, events...)
}

// followTimeline saves the events of a member repeatedly until it exits. The
// returned function waits for the last save.
func (c *cluster) followTimeline(m *member) (wait func()) {
	done := make(chan struct{})
	exited := m.Exited()
	go func() {
		defer close(done)
		ticker := time.NewTicker(pollInterval * 5)
		defer ticker.Stop()
		for {
			c.saveTimeline(m)
			select {
			case <-exited:
				return
			case <-ticker.C:
			}
		}
	}()
	return func() { <-done }
}

// recordShutdown records that a graceful shutdown of a member starts. If the
// member does not respond, its incarnation stays empty, and checkShutdowns matches
// no runs with this shutdown.
func (c *cluster) recordShutdown(m *member) {
	incarnation := ""
	if status, err := c.fetchStatus(m); err == nil {
		incarnation = status.Process.Incarnation
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shutdowns = append(c.shutdowns, shutdown{member: m.Name, incarnation: incarnation, at: c.now()})
}

func (c *cluster) fetchStatus(m *member) (processstatus.Document, error) {
	var status processstatus.Document
	err := c.get(m.adminAddress, processstatus.PathStatus, &status)
	return status, err
}

// allEvents merges the current and the saved time lines of all members.
func (c *cluster) allEvents() []timeline.Event {
	c.mu.Lock()
	lists := [][]timeline.Event{c.savedEvents}
	c.mu.Unlock()
	for _, m := range c.members() {
		events, _ := c.fetchTimeline(m) // other checks report a member that does not respond
		lists = append(lists, events)
	}
	return timeline.Merge(lists...)
}

func formatEvent(e timeline.Event) string {
	return fmt.Sprintf("%s %s %s %s %s", e.Time.UTC().Format(timeFormat), e.Process.VM, e.Kind, e.RequestID, e.Detail)
}
