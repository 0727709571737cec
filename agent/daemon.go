package agent

import (
	"github.com/sesameswitch/sesameswitch/processstatus"
)

// Ready reports whether the agent has a configuration.
func (a *Agent) Ready() bool {
	return a.deps.Configuration.Current() != nil
}

// Drain calls StartDraining, under the name that node.Daemon requires.
func (a *Agent) Drain() { a.StartDraining() }

// Load returns the agent's current load.
func (a *Agent) Load() processstatus.Load {
	status := a.Status()
	return processstatus.Load{Slots: status.Slots, Running: status.Running, Queued: status.Queued}
}
