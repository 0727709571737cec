// Package settings reads the settings of a program from flags and environment
// variables.
//
// A program may rely on its settings being checked as a whole before it
// starts: all faults are printed together and none is passed over. Each flag
// --some-flag can also be set by the environment variable SESAME_SOME_FLAG; a
// flag wins over the environment, which wins over the default.
package settings

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/go-playground/validator/v10"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/sesameswitch/sesameswitch/telemetry"
	"github.com/sesameswitch/sesameswitch/validation"
)

// EnvironmentPrefix starts the name of each environment variable.
const EnvironmentPrefix = "SESAME"

// Exit codes of the programs.
const (
	ExitOK = 0
	// ExitFailure means that the program ran and found a fault.
	ExitFailure = 1
	// ExitUsage means that a flag, an argument or a variable is wrong.
	ExitUsage = 2
)

// Logging are the settings of the log, for embedding.
type Logging struct {
	LogFormat string `default:"text" validate:"oneof=text json" help:"Format of log lines: text or json."`
	LogLevel  string `default:"info" validate:"oneof=debug info warning error" help:"Least level of log lines: debug, info, warning or error."`
}

// Logger returns the logger that the settings describe.
func (l Logging) Logger(w io.Writer) (*logrus.Logger, error) {
	return telemetry.NewLogger(l.LogFormat, l.LogLevel, w)
}

// Printing is the flag --print-settings, for embedding.
type Printing struct {
	PrintSettings string `optional:"" placeholder:"FORMAT" validate:"omitempty,oneof=text json" help:"Print the settings in force as text or json, secrets left out, and exit."`
}

// Program describes the program whose settings are read.
type Program struct {
	Name        string
	Description string
}

// Load fills target, a pointer to a struct with kong's tags, from the
// arguments and the environment. Fields tagged validate are checked by package
// validation, fields tagged secret:"" are never printed. When target has a
// method Validate() error it is called too.
//
// Load returns true when the program shall go on; otherwise it has printed
// help, the settings or every fault, and the program shall exit with the code.
func Load(target any, program Program, args []string, stdout, stderr io.Writer) (proceed bool, exitCode int) {
	var faults collector
	exited := false
	parser, err := kong.New(target,
		kong.Name(program.Name),
		kong.Description(program.Description),
		kong.DefaultEnvars(EnvironmentPrefix),
		kong.Writers(stdout, stderr),
		kong.Exit(func(int) { exited = true }),
		faults.mappers(),
	)
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", program.Name, err)
		return false, ExitUsage
	}
	_, err = parser.Parse(args)
	if exited {
		return false, ExitOK
	}
	faults.add(err)
	faults.checkFlags(parser.Model.Flags)
	if len(faults.messages) > 0 {
		fmt.Fprintf(stderr, "%s: wrong settings (%d):\n  %s\n", program.Name, len(faults.messages), strings.Join(faults.messages, "\n  "))
		return false, ExitUsage
	}
	if format := printFormat(parser.Model.Flags); format != "" {
		printSettings(stdout, parser.Model.Flags, format)
		return false, ExitOK
	}
	return true, ExitOK
}

// Main is the main function of a program with settings and no subcommands: it
// loads the settings, runs the program and ends the process with its exit
// code. An error of run is printed with its causes.
func Main[T any](program Program, run func(*T) error) {
	var target T
	proceed, code := Load(&target, program, os.Args[1:], os.Stdout, os.Stderr)
	if !proceed {
		os.Exit(code)
	}
	if err := run(&target); err != nil {
		fmt.Fprintln(os.Stderr, eris.ToString(err, false))
		os.Exit(ExitFailure)
	}
}

// collector gathers every fault instead of stopping at the first.
type collector struct {
	messages []string
	// failed holds the flags whose text could not be read.
	failed map[string]bool
}

// add notes an error of the parser.
func (c *collector) add(err error) {
	if err == nil {
		return
	}
	c.messages = append(c.messages, err.Error())
}

// checkFlags checks each value against its validate tag.
func (c *collector) checkFlags(flags []*kong.Flag) {
	validate := validation.New()
	for _, flag := range flags {
		rule := flag.Tag.Get("validate")
		missing := flag.Required && flag.Target.IsZero() // the parser noted it
		if rule == "" || missing || c.failed[flag.Name] {
			continue
		}
		err := validate.Var(flag.Target.Interface(), rule)
		var failures validator.ValidationErrors
		if !errors.As(err, &failures) {
			c.add(eris.Wrap(err, flag.Name))
			continue
		}
		for _, failure := range failures {
			c.messages = append(c.messages, fmt.Sprintf("--%s %s", flag.Name, validation.Describe(failure)))
		}
	}
}
