package prove

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/sesameswitch/sesameswitch/processstatus"
	"github.com/sesameswitch/sesameswitch/timeline"
)

const timeFormat = "15:04:05.000000"

// departure is the graceful end of a member.
type departure struct {
	member      string
	incarnation string
	at          time.Duration
}

// timelineOf reads the events that a member still has.
func (c *cluster) timelineOf(m *member) ([]timeline.Event, error) {
	response, err := c.client.Get("http://" + m.admin + processstatus.PathTimeline)
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

// saveTimeline keeps the events of a member that is about to be killed. A
// member that cannot answer has none to give.
func (c *cluster) saveTimeline(m *member) {
	events, _ := c.timelineOf(m)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.saved = append(c.saved, events...)
}

// followTimeline keeps the events of a member until it ends; the returned
// function waits for that.
func (c *cluster) followTimeline(m *member) (wait func()) {
	over := make(chan struct{})
	exited := m.Exited()
	go func() {
		defer close(over)
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
	return func() { <-over }
}

// noteDeparture records that a member is asked to end.
func (c *cluster) noteDeparture(m *member) {
	incarnation := ""
	if status, err := c.statusOf(m); err == nil {
		incarnation = status.Process.Incarnation
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.departures = append(c.departures, departure{member: m.Name, incarnation: incarnation, at: c.now()})
}

func (c *cluster) statusOf(m *member) (processstatus.Document, error) {
	var status processstatus.Document
	err := c.get(m.admin, processstatus.PathStatus, &status)
	return status, err
}

// allEvents merges the time lines of all members.
func (c *cluster) allEvents() []timeline.Event {
	c.mu.Lock()
	lists := [][]timeline.Event{c.saved}
	c.mu.Unlock()
	for _, m := range c.members() {
		events, _ := c.timelineOf(m) // a member that does not answer is seen elsewhere
		lists = append(lists, events)
	}
	return timeline.Merge(lists...)
}

func formatEvent(e timeline.Event) string {
	return fmt.Sprintf("%s %s %s %s %s", e.Time.UTC().Format(timeFormat), e.Process.VM, e.Kind, e.RequestID, e.Detail)
}
