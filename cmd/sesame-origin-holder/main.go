// Command sesame-origin-holder holds where streams began, on the VM of a backend server, so
// that callers can take their streams up after all gateways were restarted.
package main

import (
	"context"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/originholder"
	"github.com/sesameswitch/sesameswitch/platform"
	"github.com/sesameswitch/sesameswitch/settings"
	"github.com/sesameswitch/sesameswitch/telemetry"
)

// flags are the settings of the program. The settings of the VM are in the platform's settings
// file.
type flags struct {
	Boot     string `help:"Path of the platform's settings file; default: the value of the platform's own environment variable."`
	LogLevel string `default:"info" validate:"oneof=debug info warning error" help:"Lowest level of log lines that are written: debug, info, warning or error."`
	settings.Printing
}

func main() {
	program := settings.Program{Name: "sesame-origin-holder", Description: "Holds where streams began, beside a backend server."}
	settings.Main(program, run)
}

func run(f *flags) error {
	runtime.GOMAXPROCS(1)         // the VM belongs to the backend server
	signal.Ignore(syscall.SIGHUP) // announces new settings, of which the holder uses none
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log, err := telemetry.NewLogger(telemetry.FormatJSON, f.LogLevel, os.Stdout)
	if err != nil {
		return err
	}
	if f.Boot == "" {
		f.Boot = os.Getenv(platform.SettingsVariable)
	}
	vm, address, err := platform.ReadHolder(f.Boot)
	if err != nil {
		return err
	}
	return originholder.Serve(ctx, address, clock.New(), log.WithField("vm", vm))
}
