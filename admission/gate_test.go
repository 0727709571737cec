package admission

import (
	"testing"
	"time"
)

func TestGate(t *testing.T) {
	base := GateRequest{Full: true, Remaining: 8 * time.Second, LatencyTarget: 1500 * time.Millisecond, ExpectedWait: 400 * time.Millisecond}
	tests := []struct {
		name   string
		change func(*GateRequest)
		want   GateDecision
	}{
		{"room", func(o *GateRequest) { o.Full = false; o.ExpectedWait = time.Hour }, GateDecision{Action: GateSend}},
		{"a stream that broke", func(o *GateRequest) { o.ResponseStarted = true }, GateDecision{Action: GateSend}},
		{"no room yet", func(*GateRequest) {}, GateDecision{Action: GateHold, Delay: holdPause}},
		{"no room for half of the goal", func(o *GateRequest) { o.Waited = 740 * time.Millisecond }, GateDecision{Action: GateRefuse, Delay: 400 * time.Millisecond}},
		{"a backlog of more than half of what is left", func(o *GateRequest) { o.ExpectedWait = 5 * time.Second }, GateDecision{Action: GateRefuse, Delay: 8 * time.Second / 3}},
		{"little left", func(o *GateRequest) { o.Remaining = 600 * time.Millisecond }, GateDecision{Action: GateRefuse, Delay: 200 * time.Millisecond}},
		{"a short backlog", func(o *GateRequest) { o.Waited = time.Second; o.ExpectedWait = time.Millisecond }, GateDecision{Action: GateRefuse, Delay: minComeBack}},
	}
	for _, test := range tests {
		o := base
		test.change(&o)
		got := Gate{}.Decide(o)
		if got.Action != test.want.Action || (got.Delay-test.want.Delay).Abs() > time.Millisecond {
			t.Errorf("%s: %+v, want %+v", test.name, got, test.want)
		}
	}
}
