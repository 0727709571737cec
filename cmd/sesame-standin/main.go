// Command sesame-standin runs one of the stand-ins: simulated platform services and
// backend servers for tests and experiments. It prints "listening ADDR" to standard
// output when it is ready.
package main

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/alecthomas/kong"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/standin/config"
	"github.com/sesameswitch/sesameswitch/standin/engine"
	"github.com/sesameswitch/sesameswitch/standin/service"
	"github.com/sesameswitch/sesameswitch/standin/vmlist"
	"github.com/sesameswitch/sesameswitch/standin/weights"
)

const readHeaderTimeout = 10 * time.Second

// commandLine contains the subcommands of sesame-standin.
type commandLine struct {
	Config  configCommand  `cmd:"" help:"Configuration service."`
	Vmlist  vmlistCommand  `cmd:"" help:"List of VMs."`
	Engine  engineCommand  `cmd:"" help:"Model engine."`
	Service serviceCommand `cmd:"" help:"Plain service."`
	Weights weightsCommand `cmd:"" help:"Weight store."`
}

// listenFlag is the flag that all stand-ins have.
type listenFlag struct {
	Listen string `default:"127.0.0.1:0" help:"Address to listen on; port 0 selects a free port."`
}

// serve listens on the address, prints the actual address and serves requests until
// the process ends.
func (f *listenFlag) serve(handler http.Handler) error {
	listener, err := net.Listen("tcp", f.Listen)
	if err != nil {
		return err
	}
	fmt.Println("listening", listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	return server.Serve(listener)
}

type configCommand struct {
	listenFlag
}

// Run serves a configuration service.
func (c *configCommand) Run() error { return c.serve(config.New()) }

type vmlistCommand struct {
	listenFlag
	Lag time.Duration `help:"Delay of the list: changes appear after this time."`
}

// Run serves a list of VMs.
func (c *vmlistCommand) Run() error {
	list := vmlist.New(clock.New())
	list.SetFaults(vmlist.Faults{LagMillis: c.Lag.Milliseconds()})
	return c.serve(list)
}

type serviceCommand struct {
	listenFlag
	Name    string        `default:"service" help:"Name in load reports."`
	Latency time.Duration `default:"20ms" help:"Time to run one request."`
	Slots   int           `help:"Number of requests that run at once; 0 means no limit."`
}

// Run serves a plain service.
func (c *serviceCommand) Run() error {
	return c.serve(service.New(service.Settings{Latency: c.Latency, Slots: c.Slots, Name: c.Name}))
}

type weightsCommand struct {
	listenFlag
	Rate  float64 `default:"1" help:"Downloads started per second."`
	Burst int     `default:"2" help:"Number of downloads that may start at once."`
}

// Run serves a weight store.
func (c *weightsCommand) Run() error { return c.serve(weights.New(c.Rate, c.Burst)) }

type engineCommand struct {
	listenFlag
	Models      []string      `help:"Loaded models; without any, all models are accepted."`
	Slots       int           `default:"8" help:"Maximum number of requests in a batch."`
	MaxWaiting  int           `default:"1024" help:"Maximum length of the engine's queue."`
	StepTime    time.Duration `default:"20ms" help:"Inter-token latency of a batch with one request."`
	StepGrowth  float64       `default:"0.02" help:"Growth of the step time with each further request in the batch, as a share of the step time of one request."`
	FirstToken  time.Duration `default:"80ms" help:"Part of the prefill time that does not depend on the prompt."`
	PromptToken time.Duration `default:"100us" help:"Prefill time of each uncached prompt token."`
	MeanTokens  int           `default:"120" help:"Median length of responses, in tokens."`
	Sigma       float64       `default:"0.6" help:"Standard deviation of the logarithm of the response length."`
	MaxTokens   int           `default:"4096" help:"Maximum length of a response, in tokens."`
	CacheTokens int           `default:"200000" help:"Size of the prefix cache, in tokens."`
	LoadLag     time.Duration `default:"0s" help:"Delay of load reports."`
	CheckFence  bool          `help:"Refuse commands with a stale fence."`
	LoadTime    time.Duration `default:"0s" help:"Duration of each command, such as loading a model."`
	TimeScale   float64       `default:"1" help:"Factor by which all times except the delay of load reports are divided."`
	Seed        uint64        `default:"1" help:"Seed of the response lengths."`
}

// Run serves a model engine.
func (c *engineCommand) Run() error {
	server := engine.New(engine.Settings{
		Models:          c.Models,
		Slots:           c.Slots,
		MaxWaiting:      c.MaxWaiting,
		StepTime:        c.StepTime,
		StepGrowth:      c.StepGrowth,
		PrefillBase:     c.FirstToken,
		PrefillPerToken: c.PromptToken,
		MedianTokens:    c.MeanTokens,
		Sigma:           c.Sigma,
		MaxTokens:       c.MaxTokens,
		CacheTokens:     c.CacheTokens,
		LoadLag:         c.LoadLag,
		CheckFence:      c.CheckFence,
		LoadTime:        c.LoadTime,
		TimeScale:       c.TimeScale,
		Seed:            c.Seed,
	})
	defer server.Close()
	return c.serve(server)
}

func main() {
	var line commandLine
	ctx := kong.Parse(&line,
		kong.Name("sesame-standin"),
		kong.Description("Stand-ins for platform services and backend servers, for tests and experiments."),
		kong.DefaultEnvars("SESAME_STANDIN"),
	)
	ctx.FatalIfErrorf(ctx.Run())
}
