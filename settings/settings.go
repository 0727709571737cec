// Package settings reads the settings of a program from flags and environment
// variables.
//
// Programs may assume that all settings have been validated before they start.
// All problems are printed together. Each flag --some-flag can also be set by the
// environment variable SESAME_SOME_FLAG. Flags take precedence over environment
// variables, which take precedence over defaults.
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

// EnvironmentPrefix is the prefix of the names of environment variables, followed
// by an underscore.
const EnvironmentPrefix = "SESAME"

// Exit codes of the programs.
const (
	ExitOK = 0
	// ExitFailure means that the program ran and failed or found a problem.
	ExitFailure = 1
	// ExitUsage means that a flag, an argument or an environment variable is
	// invalid. The exit code of sesamectl is also ExitUsage if a command could not
	// complete.
	ExitUsage = 2
)

// Logging contains the settings of the log, for embedding.
type Logging struct {
	LogFormat string `default:"text" validate:"oneof=text json" help:"Format of log lines: text or json."`
	LogLevel  string `default:"info" validate:"oneof=debug info warning error" help:"Lowest level of log lines that are written: debug, info, warning or error."`
}

// Logger returns the logger that the settings describe.
func (l Logging) Logger(w io.Writer) (*logrus.Logger, error) {
	return telemetry.NewLogger(l.LogFormat, l.LogLevel, w)
}

// Printing contains the flag --print-settings, for embedding.
type Printing struct {
	PrintSettings string `optional:"" placeholder:"FORMAT" validate:"omitempty,oneof=text json" help:"Print the effective settings as text or json, without secrets, and exit."`
}

// Program describes the program whose settings are read.
type Program struct {
	Name        string
	Description string
}

// Load sets the fields of target, a pointer to a struct with kong's tags, from the
// arguments and the environment. It checks fields with the tag validate by package
// validation and calls the method Validate() error of target if there is one.
// Values of fields with the tag secret:"" are never printed.
//
// If proceed is false, Load has printed help, the settings or all problems, and
// the program should exit with exitCode.
func Load(target any, program Program, args []string, stdout, stderr io.Writer) (proceed bool, exitCode int) {
	var problems problemCollector
	exited := false
	parser, err := kong.New(target,
		kong.Name(program.Name),
		kong.Description(program.Description),
		kong.DefaultEnvars(EnvironmentPrefix),
		kong.Writers(stdout, stderr),
		kong.Exit(func(int) { exited = true }),
		problems.mappers(),
	)
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", program.Name, err)
		return false, ExitUsage
	}
	_, err = parser.Parse(args)
	if exited {
		return false, ExitOK
	}
	problems.add(err)
	problems.checkFlags(parser.Model.Flags)
	if len(problems.messages) > 0 {
		fmt.Fprintf(stderr, "%s: invalid settings (%d):\n  %s\n", program.Name, len(problems.messages), strings.Join(problems.messages, "\n  "))
		return false, ExitUsage
	}
	if format := printFormat(parser.Model.Flags); format != "" {
		printSettings(stdout, parser.Model.Flags, format)
		return false, ExitOK
	}
	return true, ExitOK
}

// Main is the main function of a program with settings and without subcommands. It
// loads the settings and calls run. It exits with the exit code of Load if the
// program should not proceed. If run fails, it prints the error with its causes and
// exits with ExitFailure.
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

// problemCollector collects all problems of the settings instead of stopping at
// the first one.
type problemCollector struct {
	messages []string
	// undecoded contains the names of flags whose values could not be decoded.
	undecoded map[string]bool
}

// add records an error of the parser or the validator, if there is one.
func (c *problemCollector) add(err error) {
	if err == nil {
		return
	}
	c.messages = append(c.messages, err.Error())
}

// checkFlags checks each value against its validate tag. It skips values that are
// missing or could not be decoded, since those problems are already recorded.
func (c *problemCollector) checkFlags(flags []*kong.Flag) {
	validate := validation.New()
	for _, flag := range flags {
		rule := flag.Tag.Get("validate")
		missing := flag.Required && flag.Target.IsZero()
		if rule == "" || missing || c.undecoded[flag.Name] {
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
