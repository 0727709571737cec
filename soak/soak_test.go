package soak_test

import (
	"bufio"
	"fmt"
	"os"
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

// kept are the seeds that failed once.
func kept(t *testing.T) []uint64 {
	t.Helper()
	file, err := os.Open("testdata/seeds.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	var seeds []uint64
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var seed uint64
		if strings.HasPrefix(lines.Text(), "#") {
			continue
		}
		if _, err := fmt.Sscan(lines.Text(), &seed); err != nil {
			t.Fatalf("%q: %v", lines.Text(), err)
		}
		seeds = append(seeds, seed)
	}
	return seeds
}

// TestSeeds runs two seeds and all that failed once.
func TestSeeds(t *testing.T) {
	o := soak.DefaultOptions()
	o.Bin = programs(t)
	for _, seed := range append(kept(t), 1, 2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := soak.Seed(o, seed)
			t.Logf("%d calls, %d runs", r.Calls, r.Runs)
			if r.Failed() {
				t.Errorf("%v\n%s", r.Err, strings.Join(r.Plan, "\n"))
			}
			for _, v := range r.Violations {
				t.Errorf("broken %s: %s", v.Promise, v.Detail)
			}
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
			{Kind: soak.ServerCuts, At: second / 2, For: 3 * second, Variant: 3},
			{Kind: soak.ServerFails, At: second / 2, For: 3 * second, Target: 1, Variant: 2},
		}},
		"gateway.keys": {"a key that was taken away runs nothing", []soak.Fault{
			{Kind: soak.StoreCut, At: second / 4, For: 6 * second, Variant: 1},
			{Kind: soak.KeyTaken, At: second / 2},
		}},
	} {
		t.Run(guard, func(t *testing.T) {
			t.Parallel()
			o := soak.DefaultOptions()
			o.Bin, o.Plan, o.Duration = bin, want.plan, 6*second
			if r := soak.Seed(o, 1); r.Failed() {
				t.Errorf("with the guard: %v %v", r.Err, r.Violations)
			}
			o.Environment = []string{"SESAME_MUTATION=" + guard}
			r := soak.Seed(o, 1)
			noticed := 0
			for _, v := range r.Violations {
				if v.Promise == want.promise {
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
		if a, b := fmt.Sprint(soak.Draw(o, seed)), fmt.Sprint(soak.Draw(o, seed)); a != b {
			t.Errorf("seed %d: %s and %s", seed, a, b)
		}
	}
}
