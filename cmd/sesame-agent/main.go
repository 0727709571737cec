// Command sesame-agent runs the agent of a backend server. Entries send requests to
// the backend server only through its agent.
package main

import (
	"net"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/admission"
	"github.com/sesameswitch/sesameswitch/agent"
	"github.com/sesameswitch/sesameswitch/node"
	"github.com/sesameswitch/sesameswitch/provider"
	"github.com/sesameswitch/sesameswitch/provider/httpprovider"
	"github.com/sesameswitch/sesameswitch/settings"
)

// Kinds of backend servers.
const (
	kindEngine  = "engine"
	kindService = "service"
)

// flags are the settings of an agent.
type flags struct {
	node.Settings
	Listen          string   `default:"127.0.0.1:0" validate:"tcp_addr" help:"Address to listen on for entries and other peers."`
	BackendURL      string   `name:"backend-url" required:"" validate:"url" help:"Base URL of the backend server."`
	BackendKind     string   `default:"engine" validate:"oneof=engine service" help:"Kind of backend server: engine or service."`
	Models          []string `help:"Models that the engine serves."`
	Services        []string `help:"Plain services that the backend server provides."`
	SoftwareVersion string   `help:"Version of the backend server's software. A stream goes on only at the version that began it; servers without one count as the same version."`
	Slots           int      `default:"16" validate:"min=1,max=100000" help:"Maximum number of requests that the backend server runs at once."`
	KeptAnswerBytes int64    `default:"67108864" validate:"min=1" help:"Bytes of responses stored for retries with the same idempotency key; above this limit the oldest are discarded and retries get an unknown outcome."`
	Policy          string   `default:"sesame" validate:"oneof=sesame round-robin least" help:"Scheduling policy; round-robin and least are baselines for experiments."`
}

// Validate checks that an engine has models and a service has services.
func (f *flags) Validate() error {
	if f.BackendKind == kindEngine && len(f.Models) == 0 {
		return eris.New("an engine requires --models")
	}
	if f.BackendKind == kindService && len(f.Services) == 0 {
		return eris.New("a service requires --services")
	}
	return nil
}

func main() {
	settings.Main(settings.Program{Name: "sesame-agent", Description: "Schedules and runs the requests of a backend server."}, run)
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
		Role: provider.RoleAgent, Incarnation: string(incarnation), Address: listener.Addr().String(),
	}, log)
	a := agent.New(agent.Config{
		VM: n.Self, Incarnation: incarnation, Models: f.Models, Services: f.Services, SoftwareVersion: f.SoftwareVersion,
		Slots: f.Slots, StoredResponseBytes: f.KeptAnswerBytes, Policy: policy(f.Policy), Seed: uint64(now.UnixNano()),
	}, agent.Dependencies{
		BackendServer: httpprovider.NewBackendServer(f.BackendURL), Configuration: n.Configuration,
		ObserveVersion: n.ObserveVersionFromVM, Clock: n.Clock, Metrics: n.Metrics, Timeline: n.Timeline, Memory: n.Memory,
	})
	if err := n.PeerServer.Register("Agent", agent.NewRPCService(a)); err != nil {
		return err
	}
	return n.Run(a, listener, os.Stdout)
}

// policy returns the admission policy for the value of the flag --policy. The values
// name the routing policies of entries. Deployments use PolicySesame.
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
