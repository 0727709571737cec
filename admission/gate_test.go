package admission

import (
	"testing"
	"time"
)

func TestGate(t *testing.T) {
	base := Offer{Full: true, Left: 8 * time.Second, Goal: 1500 * time.Millisecond, Expected: 400 * time.Millisecond}
	tests := []struct {
		name   string
		change func(*Offer)
		want   Decision
	}{
		{"room", func(o *Offer) { o.Full = false; o.Expected = time.Hour }, Decision{Step: StepSend}},
		{"a stream that broke", func(o *Offer) { o.Begun = true }, Decision{Step: StepSend}},
		{"no room yet", func(*Offer) {}, Decision{Step: StepHold, After: holdPause}},
		{"no room for half of the goal", func(o *Offer) { o.Waited = 740 * time.Millisecond }, Decision{Step: StepRefuse, After: 400 * time.Millisecond}},
		{"a backlog of more than half of what is left", func(o *Offer) { o.Expected = 5 * time.Second }, Decision{Step: StepRefuse, After: 8 * time.Second / 3}},
		{"little left", func(o *Offer) { o.Left = 600 * time.Millisecond }, Decision{Step: StepRefuse, After: 200 * time.Millisecond}},
		{"a short backlog", func(o *Offer) { o.Waited = time.Second; o.Expected = time.Millisecond }, Decision{Step: StepRefuse, After: minComeBack}},
	}
	for _, test := range tests {
		o := base
		test.change(&o)
		got := Gate{}.Decide(o)
		if got.Step != test.want.Step || (got.After-test.want.After).Abs() > time.Millisecond {
			t.Errorf("%s: %+v, want %+v", test.name, got, test.want)
		}
	}
}
