package soak_test

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sesameswitch/sesameswitch/soak"
)

// programs builds the gateway with its mutation switch.
func programs(t *testing.T) string {
	t.Helper()
	bin := t.TempDir()
	build := exec.Command("go", "build", "-tags", "sesame_mutation", "-o", filepath.Join(bin, "sesame-gateway"), "../cmd/sesame-gateway")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return bin
}

// kept are the failures of seeds that failed once, each with its cause.
func kept() map[string][]soak.Fault {
	second := time.Second
	return map[string][]soak.Fault{
		// A gateway that was being started when its settings were to be read again
		// ended: signals were taken only after the settings had been read.
		"seed 16 of the first plans": {
			{Kind: soak.KillGateway, At: second, For: 2 * second, Target: 1},
			{Kind: soak.ConfigChange, At: 1230 * time.Millisecond},
			{Kind: soak.SettingsReload, At: 1330 * time.Millisecond, Target: 1},
			{Kind: soak.SettingsReload, At: 1800 * time.Millisecond, Target: 1},
		},
	}
}

func check(t *testing.T, r *soak.Result) {
	t.Helper()
	t.Logf("%d calls, %d runs", r.Calls, r.Runs)
	if r.Failed() {
		t.Errorf("%v\n%s", r.Err, strings.Join(r.Plan, "\n"))
	}
	for _, v := range r.Violations {
		t.Errorf("broken %s: %s", v.Guarantee, v.Detail)
	}
}

// TestKeptFailures runs what failed once.
func TestKeptFailures(t *testing.T) {
	o := soak.DefaultOptions()
	o.Bin, o.Duration = programs(t), 5*time.Second
	for name, plan := range kept() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := o
			o.Plan = plan
			check(t, soak.RunSeed(o, 16))
		})
	}
}

// TestSeeds runs a few seeds.
func TestSeeds(t *testing.T) {
	o := soak.DefaultOptions()
	o.Bin = programs(t)
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			check(t, soak.RunSeed(o, seed))
		})
	}
}

// TestRemovedGuardsAreNoticed switches guards off, one at a time.
func TestRemovedGuardsAreNoticed(t *testing.T) {
	bin := programs(t)
	second := time.Second
	for guard, want := range map[string]struct {
		promise string
		plan    []soak.Fault
	}{
		"gateway.once": {"at most once", []soak.Fault{
			{Kind: soak.ServerTruncates, At: second / 2, For: 3 * second, Variant: 3},
			{Kind: soak.ServerErrors, At: second / 2, For: 3 * second, Target: 1, Variant: 2},
		}},
		"gateway.keys": {"a key that was taken away runs nothing", []soak.Fault{
			{Kind: soak.StoreLinkFault, At: second / 4, For: 6 * second, Variant: 1},
			{Kind: soak.KeyRevocation, At: second / 2},
		}},
	} {
		t.Run(guard, func(t *testing.T) {
			t.Parallel()
			o := soak.DefaultOptions()
			o.Bin, o.Plan, o.Duration = bin, want.plan, 6*second
			if r := soak.RunSeed(o, 1); r.Failed() {
				t.Errorf("with the guard: %v %v", r.Err, r.Violations)
			}
			o.Environment = []string{"SESAME_MUTATION=" + guard}
			r := soak.RunSeed(o, 1)
			noticed := 0
			for _, v := range r.Violations {
				if v.Guarantee == want.promise {
					noticed++
				}
			}
			if noticed == 0 {
				t.Errorf("without the guard nothing was noticed in %d calls: %v", r.Calls, r.Violations)
			}
		})
	}
}

// TestPlansRepeat shows that a seed gives the same plan each time.
func TestPlansRepeat(t *testing.T) {
	o := soak.DefaultOptions()
	for seed := range uint64(20) {
		if a, b := fmt.Sprint(soak.DrawPlan(o, seed)), fmt.Sprint(soak.DrawPlan(o, seed)); a != b {
			t.Errorf("seed %d: %s and %s", seed, a, b)
		}
	}
}
