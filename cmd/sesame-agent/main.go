// Command sesame-agent runs beside a backend server and is the only way to
// it.
package main

import (
	"fmt"
	"net"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/admission"
	"github.com/sesameswitch/sesameswitch/agent"
	"github.com/sesameswitch/sesameswitch/node"
	"github.com/sesameswitch/sesameswitch/platform"
	"github.com/sesameswitch/sesameswitch/platform/httpplatform"
	"github.com/sesameswitch/sesameswitch/settings"
)

// flags are the settings of an agent.
type flags struct {
	node.Settings
	Listen      string   `default:"127.0.0.1:0" validate:"tcp_addr" help:"Address for entries and other peers."`
	BackendURL  string   `name:"backend-url" required:"" validate:"url" help:"Base URL of the backend server."`
	BackendKind string   `default:"engine" validate:"oneof=engine service" help:"Kind of backend server: engine or service."`
	Models      []string `help:"Models that the engine has loaded."`
	Services    []string `help:"Plain services of the backend server."`
	Slots       int      `default:"16" validate:"min=1,max=100000" help:"Requests that the backend server runs at once."`
	Policy      string   `default:"sesame" validate:"oneof=sesame round-robin least" help:"Order of service; round-robin and least are baselines for experiments."`
}

func main() {
	var f flags
	program := settings.Program{Name: "sesame-agent", Description: "The process beside a backend server."}
	proceed, code := settings.Load(&f, program, os.Args[1:], os.Stdout, os.Stderr)
	if !proceed {
		os.Exit(code)
	}
	if err := run(&f); err != nil {
		fmt.Fprintln(os.Stderr, eris.ToString(err, false))
		os.Exit(settings.ExitFailure)
	}
}

func run(f *flags) error {
	log, err := f.Logger(os.Stderr)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", f.Listen)
	if err != nil {
		return eris.Wrap(err, "peer listener")
	}
	now := time.Now()
	incarnation := agent.NewIncarnation(now)
	n := node.New(f.Settings, node.Identity{
		Role: platform.RoleAgent, Incarnation: string(incarnation), Address: listener.Addr().String(),
	}, log)
	a := agent.New(agent.Config{
		VM: n.Self, Incarnation: incarnation, Models: f.Models, Services: f.Services,
		Slots: f.Slots, Policy: policy(f.Policy), Seed: uint64(now.UnixNano()),
	}, agent.Dependencies{
		BackendServer: httpplatform.NewBackendServer(f.BackendURL), Configuration: n.Configuration,
		Heard: n.HeardFrom, Clock: n.Clock, Metrics: n.Metrics, Timeline: n.Timeline,
	})
	if err := n.PeerServer.Register("Agent", agent.NewService(a)); err != nil {
		return err
	}
	return n.Run(a, listener, os.Stdout)
}

// policy maps the experiment's policy to the agent's part of it.
func policy(name string) admission.Policy {
	switch name {
	case "round-robin":
		return admission.PolicyFIFO
	case "least":
		return admission.PolicyStrict
	default:
		return admission.PolicySesame
	}
}
