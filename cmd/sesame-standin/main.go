// Command sesame-standin runs one of the platform's stand-ins for tests and
// experiments. It prints "listening ADDR" on standard output when ready.
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

// commandLine is the command line of sesame-standin.
type commandLine struct {
	Config  configCommand  `cmd:"" help:"Configuration service."`
	Vmlist  vmlistCommand  `cmd:"" help:"List of VMs."`
	Engine  engineCommand  `cmd:"" help:"Model engine."`
	Service serviceCommand `cmd:"" help:"Plain service."`
	Weights weightsCommand `cmd:"" help:"Weight store."`
}

// listenFlag is shared by all stand-ins.
type listenFlag struct {
	Listen string `default:"127.0.0.1:0" help:"Address to listen on; port 0 picks a free one."`
}

// serve listens, says where, and serves until the process ends.
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
	Lag time.Duration `help:"Serve the list as it was this long ago."`
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
	Latency time.Duration `default:"20ms" help:"How long one call runs."`
	Slots   int           `help:"Calls that run at once; 0 is no bound."`
}

// Run serves a plain service.
func (c *serviceCommand) Run() error {
	return c.serve(service.New(service.Settings{Latency: c.Latency, Slots: c.Slots, Name: c.Name}))
}

type weightsCommand struct {
	listenFlag
	Rate  float64 `default:"1" help:"Downloads started per second."`
	Burst int     `default:"2" help:"Downloads that may start at once."`
}

// Run serves a weight store.
func (c *weightsCommand) Run() error { return c.serve(weights.New(c.Rate, c.Burst)) }

type engineCommand struct {
	listenFlag
	Models      []string      `help:"Loaded models; none accepts any."`
	Slots       int           `default:"8" help:"Requests in one batch."`
	MaxWaiting  int           `default:"1024" help:"Bound of the engine's own queue."`
	StepTime    time.Duration `default:"20ms" help:"Time between tokens of a batch of one."`
	StepGrowth  float64       `default:"0.02" help:"Part of the step time that each further request adds."`
	FirstToken  time.Duration `default:"80ms" help:"Fixed part of the time to the first token."`
	PromptToken time.Duration `default:"100us" help:"Time that each uncached prompt token adds."`
	MeanTokens  int           `default:"120" help:"Median length of answers."`
	Sigma       float64       `default:"0.6" help:"Spread of the logarithm of the length."`
	MaxTokens   int           `default:"4096" help:"Bound of an answer."`
	CacheTokens int           `default:"200000" help:"Size of the prefix cache."`
	LoadLag     time.Duration `default:"0s" help:"Age of load reports."`
	CheckFence  bool          `help:"Refuse orders with an old fence."`
	LoadTime    time.Duration `default:"0s" help:"Time to load a model."`
	TimeScale   float64       `default:"1" help:"Divide all times by this."`
	Seed        uint64        `default:"1" help:"Seed of the lengths."`
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
		kong.Description("Stand-ins for the platform, for tests and experiments."),
		kong.DefaultEnvars("SESAME_STANDIN"),
	)
	ctx.FatalIfErrorf(ctx.Run())
}
