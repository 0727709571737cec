package agent

import (
	"context"
	"errors"
	"io"
	"strconv"

	"github.com/sesameswitch/sesameswitch/internal/mutation"
	"github.com/sesameswitch/sesameswitch/outcome"
	"github.com/sesameswitch/sesameswitch/provider"
)

// readBufferBytes is the size of one read from a backend server.
const readBufferBytes = 16 << 10

// maxAnswerBytes bounds the answer of one run.
const maxAnswerBytes = 16 << 20

// GuardWholeAnswer fails runs whose answer broke off. A test build can switch
// it off.
const GuardWholeAnswer mutation.Guard = "agent.whole_answer"

var errSilent = errors.New("the backend server does not answer")

// execute sends a run to the backend server and fills its answer. It returns
// nil when the answer is whole, and otherwise why it is not.
func execute(ctx context.Context, server provider.BackendServer, r *run) *outcome.Refusal {
	reply, err := server.Do(ctx, callOf(r))
	if err != nil {
		return failure(ctx, err)
	}
	defer func() { _ = reply.Body.Close() }() // the answer was read or given up
	r.answer.begin(reply.Status, reply.Header)
	if r.args.Stream && reply.Status == 200 {
		err = copyEvents(ctx, r.answer, reply.Body, r.args.ResumeAfter)
	} else {
		err = copyBody(ctx, r.answer, reply)
	}
	if err != nil && !mutation.Off(GuardWholeAnswer) {
		return failure(ctx, err)
	}
	return nil
}

// failure tells apart a call that was never sent from one that may have run.
func failure(ctx context.Context, err error) *outcome.Refusal {
	var unsent interface{ NotSent() bool }
	if errors.As(err, &unsent) && unsent.NotSent() {
		return outcome.Refuse(outcome.ReasonBackendServer, "the backend server cannot be reached")
	}
	if errors.Is(context.Cause(ctx), errSilent) {
		return outcome.Doubt(outcome.ReasonTimeout, errSilent.Error())
	}
	if ctx.Err() != nil {
		return outcome.Doubt(outcome.ReasonCancelled, "the run was cancelled")
	}
	return outcome.Doubt(outcome.ReasonBackendServer, err.Error())
}

func callOf(r *run) provider.Request {
	call := provider.Request{
		Method:    r.args.Method,
		Path:      r.args.Path,
		Header:    map[string]string{"Sesame-Run-Id": r.args.ID},
		Body:      r.args.Body,
		Retryable: !r.keyed,
	}
	for name, value := range r.args.Header {
		call.Header[name] = value
	}
	if r.keyed {
		call.Header["Idempotency-Key"] = r.args.ID
	}
	if r.args.Model != "" {
		call.Body = withEngineFields(r.args.Body, r.tier, r.args.ResumeAfter)
	}
	return call
}

// withEngineFields adds the priority and the token to resume after to a JSON
// object. They come last, so that they win over fields of the same name.
func withEngineFields(body []byte, tier, resumeAfter int) []byte {
	end := len(body) - 1
	for end >= 0 && body[end] != '}' {
		end--
	}
	if end < 1 {
		return body
	}
	out := append(make([]byte, 0, len(body)+64), body[:end]...)
	if hasMembers(body[:end]) {
		out = append(out, ',')
	}
	out = append(out, `"priority":`...)
	out = strconv.AppendInt(out, int64(tier), 10)
	if resumeAfter > 0 {
		out = append(out, `,"sesame_resume_after":`...)
		out = strconv.AppendInt(out, int64(resumeAfter), 10)
	}
	return append(out, '}')
}

func hasMembers(open []byte) bool {
	for i := len(open) - 1; i >= 0; i-- {
		switch open[i] {
		case ' ', '\t', '\r', '\n':
			continue
		case '{':
			return false
		default:
			return true
		}
	}
	return false
}

var errTooLong = errors.New("the backend server's answer is too long")

// copyBody copies a body whose end the transport checks.
func copyBody(ctx context.Context, a *answer, reply *provider.Response) error {
	buffer := make([]byte, readBufferBytes)
	total := int64(0)
	for {
		n, err := reply.Body.Read(buffer)
		total += int64(n)
		if total > maxAnswerBytes {
			return errTooLong
		}
		if n > 0 {
			if err := a.append(ctx, buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return checkLength(total, reply.Length)
		}
		if err != nil {
			return err
		}
	}
}

func checkLength(got, announced int64) error {
	if announced >= 0 && got != announced {
		return errors.New("the backend server's answer is short")
	}
	return nil
}
