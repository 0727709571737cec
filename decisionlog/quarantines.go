package decisionlog

import (
	"slices"
	"sort"
	"time"
)

// ServerCrash is the end of a backend server as gateways saw it. The JSON output uses the
// names of the fields.
type ServerCrash struct {
	Server, Service string
	At              time.Time
	// Gateways is the number of gateways that saw it; Suspects are the requests that, by
	// what they saw, may have caused it.
	Gateways int
	Suspects []string
}

// Quarantine is a rule that kept requests which crash backend servers away from them. The
// JSON output uses the names of the fields.
type Quarantine struct {
	Traits string
	// From is when the first gateway started the rule, LiftedAt when the last one lifted it;
	// zero if none did.
	From, LiftedAt time.Time
	// Gateways is the number of gateways that had the rule. Refusals and Trials count the
	// requests that were refused because of it and those that were sent as a trial.
	Gateways, Refusals, Trials int
}

// Crashes returns the crashes of backend servers by time. Call Sort first.
func (l *Log) Crashes() []ServerCrash {
	at := make(map[string]int)
	var crashes []ServerCrash
	for i := range l.Lines {
		line := &l.Lines[i]
		if line.Event != EventServerCrashed {
			continue
		}
		server := line.Text("server") + "@" + line.Text("started_at_ms")
		index, known := at[server]
		if !known {
			index = len(crashes)
			at[server] = index
			crashes = append(crashes, ServerCrash{Server: line.Text("server"), Service: line.Text("service"), At: line.At})
		}
		crash := &crashes[index]
		crash.Gateways++
		suspects, _ := line.Fields["suspects"].([]any)
		for _, suspect := range suspects {
			if id, isText := suspect.(string); isText && !slices.Contains(crash.Suspects, id) {
				crash.Suspects = append(crash.Suspects, id)
			}
		}
	}
	return crashes
}

// Quarantines returns the rules that kept requests away from backend servers, those with
// the most refusals first. Call Sort first.
func (l *Log) Quarantines() []Quarantine {
	rules := make(map[string]*Quarantine)
	holders := make(map[string]map[string]bool)
	for i := range l.Lines {
		line := &l.Lines[i]
		traits := line.Text("traits")
		if traits == "" {
			continue
		}
		q := rules[traits]
		if q == nil {
			q = &Quarantine{Traits: traits, From: line.At}
			rules[traits], holders[traits] = q, make(map[string]bool)
		}
		switch line.Event {
		case EventQuarantineStarted:
			holders[traits][line.VM] = true
		case EventQuarantineLifted:
			q.LiftedAt = line.At
		case EventRequestQuarantined:
			q.Refusals++
		case EventQuarantineTrial:
			q.Trials++
		}
	}
	var all []Quarantine
	for traits, q := range rules {
		q.Gateways = len(holders[traits])
		all = append(all, *q)
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].Refusals != all[j].Refusals {
			return all[i].Refusals > all[j].Refusals
		}
		return all[i].Traits < all[j].Traits
	})
	return all
}
