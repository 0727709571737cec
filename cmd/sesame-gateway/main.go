// Command sesame-gateway runs a gateway, which accepts requests of callers and sends
// them directly to backend servers, without agents. It obtains its settings and its
// configuration from the platform that package platform adapts.
package main

import (
	"context"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/gateway"
	"github.com/sesameswitch/sesameswitch/platform"
	"github.com/sesameswitch/sesameswitch/routing"
	"github.com/sesameswitch/sesameswitch/settings"
	"github.com/sesameswitch/sesameswitch/telemetry"
)

// flags are the settings of the program. The settings of the VM and of the
// deployment are in the platform's settings file.
type flags struct {
	Boot          string `help:"Path of the platform's settings file; default: the value of the platform's own environment variable."`
	MetricsListen string `validate:"omitempty,tcp_addr" help:"Address to listen on for requests for metrics; empty disables metrics."`
	LogLines      int    `default:"2048" validate:"min=16,max=1000000" help:"Log lines buffered while standard output is slow; further ones are dropped and counted."`
	LogLevel      string `default:"info" validate:"oneof=debug info warning error" help:"Lowest level of log lines that are written: debug, info, warning or error."`
	Policy        string `default:"sesame" validate:"oneof=sesame least" help:"Policy for the choice of backend servers: sesame uses the estimated cost; least uses the fewest requests in flight, as a baseline for experiments."`
	OriginHolders bool   `help:"Report where streams began to the programs sesame-origin-holder on the VMs of model engines, and ask these."`
	settings.Printing
}

func main() {
	signals := gateway.NotifySignals()
	program := settings.Program{Name: "sesame-gateway", Description: "Accepts requests of callers and sends them directly to backend servers."}
	settings.Main(program, func(f *flags) error { return run(f, signals) })
}

// logFlushTimeout bounds the time to write the last log lines before exit.
const logFlushTimeout = 200 * time.Millisecond

func run(f *flags, signals <-chan os.Signal) error {
	runtime.GOMAXPROCS(1) // a gateway's VM has less than one CPU core
	writer := telemetry.NewAsyncWriter(os.Stdout, f.LogLines)
	log, err := telemetry.NewLogger(telemetry.FormatJSON, f.LogLevel, writer)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	written := make(chan struct{})
	go func() {
		defer close(written)
		writer.Run(ctx)
	}()
	defer func() {
		cancel()
		select {
		case <-written:
		case <-time.After(logFlushTimeout):
		}
	}()
	if f.Boot == "" {
		f.Boot = os.Getenv(platform.SettingsVariable)
	}
	file := &platform.SettingsFile{Path: f.Boot}
	daemon, err := gateway.NewDaemon(gateway.Platform{
		Codec:        platform.Codec{},
		NewStore:     func(address func() string) gateway.Store { return platform.NewStore(address) },
		ReadSettings: file.Read,
	}, gateway.Options{MetricsAddress: f.MetricsListen, Policy: routing.Policy(f.Policy), OriginHolders: f.OriginHolders, Seed: uint64(time.Now().UnixNano())}, log) //nolint:gosec // any value is a valid seed
	if err != nil {
		return eris.Wrap(err, "start")
	}
	limitMemory(daemon.MemoryLimitBytes())
	return daemon.Run(signals)
}

// memoryShare is the memory limit of the Go runtime as a share of the process's memory
// limit in the settings file. The runtime's limit is soft: the garbage collector runs
// more often to stay below it.
const memoryShare = 0.5

func limitMemory(bytes int64) {
	if bytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(bytes)))
	}
}
