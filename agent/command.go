package agent

import (
	"time"

	"github.com/sesameswitch/sesameswitch/agentapi"
	"github.com/sesameswitch/sesameswitch/membudget"
	"github.com/sesameswitch/sesameswitch/outcome"
)

// command is an operation that is carried out on the scheduler's goroutine.
type command interface {
	apply(s *scheduler, now time.Time)
}

// submitCommand submits a request.
type submitCommand struct {
	args *agentapi.SubmitArgs
	// memory is what the body takes; a new run holds it until it has ended.
	memory *membudget.Claim
	reply  chan<- agentapi.SubmitReply
}

func (c submitCommand) apply(s *scheduler, now time.Time) {
	c.reply <- s.submit(now, c.args, c.memory)
}

// cancelCommand cancels a run. The reply reports whether the run exists.
type cancelCommand struct {
	args  *agentapi.CancelArgs
	reply chan<- bool
}

func (c cancelCommand) apply(s *scheduler, now time.Time) {
	c.reply <- s.cancel(now, c.args)
}

// finishedCommand reports that the call to the backend server has ended. A nil
// refusal means that the response is complete.
type finishedCommand struct {
	run     *run
	refusal *outcome.Refusal
}

func (c finishedCommand) apply(s *scheduler, now time.Time) {
	s.finishRun(now, c.run, c.refusal)
}

// stateCommand changes the agent's state.
type stateCommand struct {
	state agentapi.State
}

func (c stateCommand) apply(s *scheduler, now time.Time) {
	s.setState(now, c.state)
}

// tickCommand runs the periodic work of the scheduler.
type tickCommand struct{}

func (tickCommand) apply(s *scheduler, now time.Time) {
	s.tick(now)
}
