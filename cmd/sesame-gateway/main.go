// Command sesame-gateway serves callers on the users' platform: it sends their
// requests to backend servers itself.
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

// flags are the settings of the program itself; those of the VM and the
// deployment stand in the platform's settings file.
type flags struct {
	Boot          string `help:"Path of the platform's settings file; without it the platform's own variable names it."`
	MetricsListen string `validate:"omitempty,tcp_addr" help:"Address for counters and histograms; empty serves none."`
	LogLines      int    `default:"2048" validate:"min=16,max=1000000" help:"Log lines that are held while standard output is slow; further ones are dropped and counted."`
	LogLevel      string `default:"info" validate:"oneof=debug info warning error" help:"Least level of log lines: debug, info, warning or error."`
	Policy        string `default:"sesame" validate:"oneof=sesame least" help:"How backend servers are chosen: sesame by the estimated cost, least by the fewest open requests, to compare with."`
	settings.Printing
}

func main() {
	signals := gateway.NotifySignals()
	program := settings.Program{Name: "sesame-gateway", Description: "Serves callers on the users' platform."}
	settings.Main(program, func(f *flags) error { return run(f, signals) })
}

// logFlushTimeout bounds the time to write the last log lines.
const logFlushTimeout = 200 * time.Millisecond

func run(f *flags, signals <-chan os.Signal) error {
	runtime.GOMAXPROCS(1) // an entry VM has less than one core
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
	}, gateway.Options{MetricsAddress: f.MetricsListen, Policy: routing.Policy(f.Policy), Seed: uint64(time.Now().UnixNano())}, log) //nolint:gosec // a seed
	if err != nil {
		return eris.Wrap(err, "start")
	}
	limitMemory(daemon.MemoryLimitBytes())
	return daemon.Run(signals)
}

// memoryShare is the part of the VM's memory that the collector aims at.
const memoryShare = 0.5

func limitMemory(bytes int64) {
	if bytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(bytes)))
	}
}
