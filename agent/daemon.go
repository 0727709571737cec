package agent

import (
	"github.com/sesameswitch/sesameswitch/processstatus"
)

// Ready reports whether the agent has a configuration.
func (a *Agent) Ready() bool {
	return a.deps.Configuration.Current() != nil
}

// Drain makes the agent refuse new requests; it is Leave under the name that
// package node uses.
func (a *Agent) Drain() { a.StartDraining() }

// Load is how busy the agent is.
func (a *Agent) Load() processstatus.Load {
	status := a.Status()
	return processstatus.Load{Slots: status.Slots, Running: status.Running, Queued: status.Queued}
}
