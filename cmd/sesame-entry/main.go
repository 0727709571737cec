// Command sesame-entry runs an entry, which accepts requests of callers and sends
// them to agents.
package main

import (
	"fmt"
	"net"
	"os"
	"runtime/debug"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/agent"
	"github.com/sesameswitch/sesameswitch/entry"
	"github.com/sesameswitch/sesameswitch/node"
	"github.com/sesameswitch/sesameswitch/provider"
	"github.com/sesameswitch/sesameswitch/routing"
	"github.com/sesameswitch/sesameswitch/settings"
)

// flags are the settings of an entry.
type flags struct {
	node.Settings
	Listen     string `default:"127.0.0.1:8080" validate:"tcp_addr" help:"Address to listen on for callers."`
	PeerListen string `default:"127.0.0.1:0" validate:"tcp_addr" help:"Address to listen on for agents and other peers."`
	SubsetSize int    `default:"24" validate:"min=1,max=1000" help:"Number of agents with which this entry exchanges heartbeats."`
	Policy     string `default:"sesame" validate:"oneof=sesame round-robin least" help:"Policy for the choice of agents; round-robin and least are baselines for experiments."`
}

func main() {
	settings.Main(settings.Program{Name: "sesame-entry", Description: "Accepts requests of callers and sends them to agents."}, run)
}

// gcPercent is the garbage collection target of an entry: the heap may grow by this
// percentage of the live heap before the next collection. The default of 100 would
// waste memory, since an entry has a large live heap of many small, long-lived
// objects. GOGC in the environment takes precedence.
const gcPercent = 50

func run(f *flags) error {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	log, err := f.Logger(os.Stderr)
	if err != nil {
		return err
	}
	peers, err := net.Listen("tcp", f.PeerListen)
	if err != nil {
		return eris.Wrap(err, "peer listener")
	}
	callers, err := net.Listen("tcp", f.Listen)
	if err != nil {
		return eris.Wrap(err, "caller listener")
	}
	now := time.Now()
	n := node.New(f.Settings, node.Identity{
		Role: provider.RoleEntry, Incarnation: string(agent.NewIncarnation(now)), Address: peers.Addr().String(),
	}, log)
	e := entry.New(entry.Config{
		VM: n.Self, Policy: policy(f.Policy), SubsetSize: f.SubsetSize, Seed: uint64(now.UnixNano()), MemoryBytes: f.MemoryBytes(),
	}, entry.Dependencies{
		Peers: n.Peers, Configuration: n.Configuration, Confirm: n.ConfirmConfiguration, ObserveVersion: n.ObserveVersion,
		Members: n.Members, Clock: n.Clock, Metrics: n.Metrics, Timeline: n.Timeline, Log: log,
	})
	daemon, err := entry.NewDaemon(e, callers)
	if err != nil {
		return err
	}
	fmt.Printf("listening callers=%s\n", callers.Addr())
	return n.Run(daemon, peers, os.Stdout)
}

// policy returns the routing policy for the value of the flag --policy. Deployments
// use PolicySesame.
func policy(name string) routing.Policy {
	switch name {
	case "round-robin":
		return routing.PolicyRoundRobin
	case "least":
		return routing.PolicyLeastRequests
	default:
		return routing.PolicySesame
	}
}
