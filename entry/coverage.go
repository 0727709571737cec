package entry

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sesameswitch/sesameswitch/agentapi"
	"github.com/sesameswitch/sesameswitch/provider"
)

const (
	// coverage is how many agents of each model and service an entry wants to
	// know.
	coverage = 3
	// coverBatch bounds the agents asked in one search.
	coverBatch = 8
	// coverPause is the time from one search through the whole fleet to the
	// next.
	coverPause = 30 * time.Second
)

// work is a model or a service; the other name is empty.
type work struct{ model, service string }

// cover looks beyond the subset for agents of models and services that too
// few agents of the entry's serve. What an agent serves is known only from
// its own word, so a few others are asked at a time until one fits.
func (t *agentTable) cover(ctx context.Context) {
	lacking := t.lacking()
	if len(lacking) == 0 {
		return
	}
	var group errgroup.Group
	for _, vm := range t.strangers() {
		group.Go(func() error {
			status, err := t.status(ctx, vm)
			if err == nil && servesAny(status, lacking) {
				t.admit(vm, status)
			}
			return nil
		})
	}
	_ = group.Wait()
}

// lacking lists the work that fewer agents serve than coverage asks for.
func (t *agentTable) lacking() []work {
	view := t.deps.Configuration.Current()
	if view == nil {
		return nil
	}
	var all []work
	for _, m := range view.Manifest.Models {
		all = append(all, work{model: m.Name})
	}
	for _, s := range view.Manifest.Services {
		all = append(all, work{service: s.Name})
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.DeleteFunc(all, func(w work) bool { return t.serving(w) >= coverage })
}

func (t *agentTable) serving(w work) int {
	count := 0
	for _, view := range t.list {
		if view.life.State() == "serving" && view.status.Serves(w.model, w.service) {
			count++
		}
	}
	return count
}

func servesAny(status *agentapi.Status, wanted []work) bool {
	return slices.ContainsFunc(wanted, func(w work) bool { return status.Serves(w.model, w.service) })
}

// strangers returns the next agents to ask that are not the entry's own. It
// returns none for a while after all were asked.
func (t *agentTable) strangers() []provider.VM {
	now := t.deps.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.searchAt) {
		return nil
	}
	var next []provider.VM
	for len(next) < coverBatch && t.asked < len(t.others) {
		vm := t.others[t.asked]
		t.asked++
		if _, known := t.agents[vm.Name]; !known {
			next = append(next, vm)
		}
	}
	if t.asked == len(t.others) {
		t.asked = 0
		t.searchAt = now.Add(coverPause)
	}
	return next
}

// admit takes an agent beyond the subset among the entry's own.
func (t *agentTable) admit(vm provider.VM, status *agentapi.Status) {
	now := t.deps.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.agents[vm.Name]; known {
		return
	}
	view := t.keep(vm)
	view.extra = true
	t.agents[vm.Name] = view
	t.list = append(t.list, view)
	t.learn(now, view, status)
}
