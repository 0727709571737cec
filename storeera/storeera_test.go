package storeera

import (
	"testing"

	"pgregory.net/rapid"
)

func stated(number uint64) Era { return Era{Number: number, Stated: true} }

func TestObserve(t *testing.T) {
	unstated := Era{}
	const far = 5_000_000
	for _, test := range []struct {
		name string
		eras []Era
		want Verdict
	}{
		{"store without eras", []Era{unstated, unstated}, Current},
		{"first era", []Era{stated(7)}, Newer},
		{"first era of a store that had none", []Era{unstated, stated(0)}, Newer},
		{"same era", []Era{stated(7), stated(7)}, Current},
		{"restored", []Era{stated(7), stated(8)}, Newer},
		{"several restores", []Era{stated(7), stated(7 + maxStep)}, Newer},
		{"late answer", []Era{stated(7), stated(8), stated(7)}, Superseded},
		{"no era after one", []Era{stated(7), unstated}, Unstated},
		{"far ahead", []Era{stated(7), stated(far), stated(far)}, Implausible},
		{"far ahead, stated again and again", []Era{stated(7), stated(far), stated(far), stated(far)}, Newer},
		{"far ahead, between current ones", []Era{stated(7), stated(far), stated(far), stated(7), stated(far)}, Implausible},
		{"far ahead, each time another", []Era{stated(7), stated(far), stated(far + 1), stated(far + 2)}, Implausible},
		{"largest number", []Era{stated(7), stated(1<<64 - 1), stated(8)}, Newer},
	} {
		var tracker Tracker
		var got Verdict
		for _, e := range test.eras {
			got = tracker.Observe(e)
		}
		if got != test.want {
			t.Errorf("%s: got %s, want %s", test.name, got, test.want)
		}
	}
}

// TestEraNeverFalls checks for any sequence of answers that the era never falls and
// that only answers of the present era are current.
func TestEraNeverFalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tracker Tracker
		for range rapid.IntRange(1, 100).Draw(t, "answers") {
			before := tracker.Era()
			answer := Era{Number: rapid.OneOf(rapid.Uint64Range(0, 20), rapid.Uint64()).Draw(t, "era"), Stated: rapid.Bool().Draw(t, "stated")}
			verdict := tracker.Observe(answer)
			after := tracker.Era()
			if before.Stated && (!after.Stated || after.Number < before.Number) {
				t.Fatalf("era fell from %v to %v", before, after)
			}
			if verdict == Current && answer.Stated != after.Stated || verdict == Current && answer.Stated && answer != after || (verdict == Newer) != (before != after) {
				t.Fatalf("answer of %v is %s, era before %v, after %v", answer, verdict, before, after)
			}
		}
	})
}
