package settings

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"
)

type sample struct {
	Logging
	Printing
	Listen  string        `default:"127.0.0.1:8080" validate:"hostname_port" help:"Address."`
	Drain   time.Duration `default:"30s" validate:"min=1s" help:"Drain time."`
	Streams int           `default:"10" validate:"min=1" help:"Streams."`
	Quiet   bool          `help:"Say less."`
	Token   string        `secret:"" help:"Token."`
}

func load(t *testing.T, target any, args ...string) (proceed bool, code int, stdout, stderr string) {
	t.Helper()
	var out, errs bytes.Buffer
	proceed, code = Load(target, Program{Name: "sample", Description: "A sample."}, args, &out, &errs)
	return proceed, code, out.String(), errs.String()
}

func TestFlagsWinOverEnvironmentOverDefaults(t *testing.T) {
	t.Setenv("SESAME_DRAIN", "5s")
	t.Setenv("SESAME_STREAMS", "7")
	var s sample
	if ok, _, _, stderr := load(t, &s, "--streams=9", "--quiet"); !ok {
		t.Fatal(stderr)
	}
	if s.Drain != 5*time.Second || s.Streams != 9 || s.Listen != "127.0.0.1:8080" || !s.Quiet || s.LogLevel != "info" {
		t.Errorf("got %+v", s)
	}
}

func TestEveryFaultIsPrinted(t *testing.T) {
	t.Setenv("SESAME_LOG_LEVEL", "loud")
	ok, code, _, stderr := load(t, &sample{}, "--drain=soon", "--streams=0", "--listen=nowhere", "--quiet=maybe")
	if ok || code != ExitUsage {
		t.Fatalf("went on: %v, code %d", ok, code)
	}
	for _, want := range []string{"wrong settings (5)", "--drain", "--streams must be at least 1", "--listen must be an address", "--log-level must be one of", "--quiet"} {
		if !strings.Contains(stderr, want) {
			t.Errorf("%q is missing in:\n%s", want, stderr)
		}
	}
}

func TestPrintSettingsHidesSecrets(t *testing.T) {
	for _, format := range []string{"text", "json"} {
		ok, code, stdout, stderr := load(t, &sample{}, "--token=confidential", "--print-settings="+format)
		if ok || code != ExitOK {
			t.Fatalf("%s: went on: %v, code %d: %s", format, ok, code, stderr)
		}
		if strings.Contains(stdout, "confidential") || !strings.Contains(stdout, hidden) || !strings.Contains(stdout, "30s") {
			t.Errorf("%s:\n%s", format, stdout)
		}
	}
}

func TestHelpAndUnknownFlag(t *testing.T) {
	if ok, code, stdout, _ := load(t, &sample{}, "--help"); ok || code != ExitOK || !strings.Contains(stdout, "SESAME_DRAIN") {
		t.Errorf("help: %v, %d\n%s", ok, code, stdout)
	}
	if ok, code, _, stderr := load(t, &sample{}, "--nothing"); ok || code != ExitUsage || !strings.Contains(stderr, "--nothing") {
		t.Errorf("unknown flag: %v, %d\n%s", ok, code, stderr)
	}
}

type paired struct {
	Low  int `default:"1" validate:"min=1"`
	High int `default:"2" validate:"max=9"`
}

func (p *paired) Validate() error {
	if p.Low > p.High {
		return errors.New("--low is above --high")
	}
	return nil
}

func TestFaultsBetweenFieldsAreFoundToo(t *testing.T) {
	ok, code, _, stderr := load(t, &paired{}, "--low=20", "--high=10")
	if ok || code != ExitUsage || !strings.Contains(stderr, "--low is above --high") || !strings.Contains(stderr, "--high must be at most 9") {
		t.Errorf("%v, %d\n%s", ok, code, stderr)
	}
}
