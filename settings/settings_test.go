package settings

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"
)

type testSettings struct {
	Logging
	Printing
	Listen  string        `default:"127.0.0.1:8080" validate:"hostname_port" help:"Address."`
	Drain   time.Duration `default:"30s" validate:"min=1s" help:"Drain time."`
	Streams int           `default:"10" validate:"min=1" help:"Streams."`
	Quiet   bool          `help:"Write less output."`
	Token   string        `secret:"" help:"Token."`
}

func load(t *testing.T, target any, args ...string) (proceed bool, code int, stdout, stderr string) {
	t.Helper()
	var out, errs bytes.Buffer
	proceed, code = Load(target, Program{Name: "sample", Description: "A sample."}, args, &out, &errs)
	return proceed, code, out.String(), errs.String()
}

func TestFlagsOverrideEnvironmentAndDefaults(t *testing.T) {
	t.Setenv("SESAME_DRAIN", "5s")
	t.Setenv("SESAME_STREAMS", "7")
	var s testSettings
	if ok, _, _, stderr := load(t, &s, "--streams=9", "--quiet"); !ok {
		t.Fatal(stderr)
	}
	if s.Drain != 5*time.Second || s.Streams != 9 || s.Listen != "127.0.0.1:8080" || !s.Quiet || s.LogLevel != "info" {
		t.Errorf("got settings %+v", s)
	}
}

func TestLoadPrintsAllProblems(t *testing.T) {
	t.Setenv("SESAME_LOG_LEVEL", "loud")
	ok, code, _, stderr := load(t, &testSettings{}, "--drain=soon", "--streams=0", "--listen=nowhere", "--quiet=maybe")
	if ok || code != ExitUsage {
		t.Fatalf("got proceed %v, exit code %d, want false and ExitUsage", ok, code)
	}
	for _, want := range []string{"invalid settings (5)", "--drain", "--streams must be at least 1", "--listen must be an address", "--log-level must be one of", "--quiet"} {
		if !strings.Contains(stderr, want) {
			t.Errorf("%q is missing in the output:\n%s", want, stderr)
		}
	}
}

func TestPrintSettingsHidesSecrets(t *testing.T) {
	for _, format := range []string{"text", "json"} {
		ok, code, stdout, stderr := load(t, &testSettings{}, "--token=confidential", "--print-settings="+format)
		if ok || code != ExitOK {
			t.Fatalf("%s: got proceed %v, exit code %d, want false and ExitOK: %s", format, ok, code, stderr)
		}
		if strings.Contains(stdout, "confidential") || !strings.Contains(stdout, hiddenValue) || !strings.Contains(stdout, "30s") {
			t.Errorf("%s: want the drain time and a hidden token in:\n%s", format, stdout)
		}
	}
}

func TestLoadPrintsHelpAndUnknownFlag(t *testing.T) {
	if ok, code, stdout, _ := load(t, &testSettings{}, "--help"); ok || code != ExitOK || !strings.Contains(stdout, "SESAME_DRAIN") {
		t.Errorf("--help: got proceed %v, exit code %d, want false, ExitOK and the variable SESAME_DRAIN in:\n%s", ok, code, stdout)
	}
	if ok, code, _, stderr := load(t, &testSettings{}, "--nothing"); ok || code != ExitUsage || !strings.Contains(stderr, "--nothing") {
		t.Errorf("unknown flag: got proceed %v, exit code %d, want false, ExitUsage and the flag in:\n%s", ok, code, stderr)
	}
}

type rangeSettings struct {
	Low  int `default:"1" validate:"min=1"`
	High int `default:"2" validate:"max=9"`
}

func (s *rangeSettings) Validate() error {
	if s.Low > s.High {
		return errors.New("--low is above --high")
	}
	return nil
}

func TestLoadPrintsProblemsOfValidateMethodToo(t *testing.T) {
	ok, code, _, stderr := load(t, &rangeSettings{}, "--low=20", "--high=10")
	if ok || code != ExitUsage || !strings.Contains(stderr, "--low is above --high") || !strings.Contains(stderr, "--high must be at most 9") {
		t.Errorf("got proceed %v, exit code %d, want false, ExitUsage and both problems in:\n%s", ok, code, stderr)
	}
}
