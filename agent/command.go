package agent

import (
	"time"

	"github.com/sesameswitch/sesameswitch/agentapi"
	"github.com/sesameswitch/sesameswitch/outcome"
)

// command is something that the scheduler's goroutine is asked to do.
type command interface {
	apply(s *scheduler, now time.Time)
}

// submitCommand offers a request.
type submitCommand struct {
	args  *agentapi.SubmitArgs
	reply chan<- agentapi.SubmitReply
}

func (c submitCommand) apply(s *scheduler, now time.Time) {
	c.reply <- s.submit(now, c.args)
}

// cancelCommand gives up a run.
type cancelCommand struct {
	args  *agentapi.CancelArgs
	reply chan<- bool
}

func (c cancelCommand) apply(s *scheduler, now time.Time) {
	c.reply <- s.cancel(now, c.args)
}

// finishedCommand reports the end of a run at the backend server.
type finishedCommand struct {
	run     *run
	refusal *outcome.Refusal
}

func (c finishedCommand) apply(s *scheduler, now time.Time) {
	s.finished(now, c.run, c.refusal)
}

// stateCommand changes the agent's state.
type stateCommand struct {
	state agentapi.State
}

func (c stateCommand) apply(s *scheduler, now time.Time) {
	s.enter(now, c.state)
}

// tickCommand looks after everything that depends on time.
type tickCommand struct{}

func (tickCommand) apply(s *scheduler, now time.Time) {
	s.tick(now)
}
