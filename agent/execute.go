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

// readBufferBytes is the size of the buffer for reads from a backend server.
const readBufferBytes = 16 << 10

// maxResponseBytes bounds the response of one run, except for event streams.
const maxResponseBytes = 16 << 20

// GuardCompleteResponse makes a run fail when its response is truncated or its copy
// fails otherwise. A test build can switch it off.
const GuardCompleteResponse mutation.Guard = "agent.whole_answer"

var errBackendSilent = errors.New("the backend server does not answer")

// execute sends the request of a run to the backend server and copies the
// response of the backend server to the run. It returns nil when the response is
// complete, and otherwise a refusal with the reason.
func execute(ctx context.Context, server provider.BackendServer, r *run) *outcome.Refusal {
	backendResp, err := server.Do(ctx, newRequest(r))
	if err != nil {
		return refusalOf(ctx, err)
	}
	defer func() { _ = backendResp.Body.Close() }() // nothing is read after this point
	r.response.begin(backendResp.Status, backendResp.Header)
	if r.args.Stream && backendResp.Status == 200 {
		err = copyEvents(ctx, r.response, backendResp.Body, r.args.ResumeAfter)
	} else {
		err = copyBody(ctx, r.response, backendResp)
	}
	if err != nil && !mutation.Off(GuardCompleteResponse) {
		return refusalOf(ctx, err)
	}
	return nil
}

// refusalOf returns the refusal for an error of a request to the backend server.
// Its outcome is not_run only when the request was never sent; otherwise the
// request may have run.
func refusalOf(ctx context.Context, err error) *outcome.Refusal {
	var sendError interface{ NotSent() bool }
	if errors.As(err, &sendError) && sendError.NotSent() {
		return outcome.Refuse(outcome.ReasonBackendServerFailed, "the backend server cannot be reached")
	}
	if errors.Is(err, errUnreadResponse) {
		return outcome.NewUnknown(outcome.ReasonMemory, errUnreadResponse.Error())
	}
	if errors.Is(context.Cause(ctx), errBackendSilent) {
		return outcome.NewUnknown(outcome.ReasonTimeout, errBackendSilent.Error())
	}
	if ctx.Err() != nil {
		return outcome.NewUnknown(outcome.ReasonCancelled, "the run was cancelled")
	}
	return outcome.NewUnknown(outcome.ReasonBackendServerFailed, err.Error())
}

// newRequest returns the request of a run to the backend server.
func newRequest(r *run) provider.Request {
	req := provider.Request{
		Method:    r.args.Method,
		Path:      r.args.Path,
		Header:    map[string]string{"Sesame-Run-Id": r.args.ID},
		Body:      r.args.Body,
		Retryable: !r.keyed,
	}
	for name, value := range r.args.Header {
		req.Header[name] = value
	}
	if r.keyed {
		req.Header["Idempotency-Key"] = r.args.ID
	}
	if r.args.Model != "" {
		req.Body = withEngineFields(r.args.Body, r.tier, r.args.ResumeAfter)
	}
	return req
}

// withEngineFields adds fields for the model engine to a JSON object: the tier as
// the priority, and the number of tokens that the caller already has. The fields
// come last, so that they override earlier fields of the same name. A body without
// a closing brace is returned unchanged.
func withEngineFields(body []byte, tier, resumeAfter int) []byte {
	end := len(body) - 1
	for end >= 0 && body[end] != '}' {
		end--
	}
	if end < 1 {
		return body
	}
	out := append(make([]byte, 0, len(body)+64), body[:end]...) // 64 bytes hold the added fields
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

// hasMembers reports whether a JSON object, given without its closing brace, has
// members.
func hasMembers(object []byte) bool {
	for i := len(object) - 1; i >= 0; i-- {
		switch object[i] {
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

var errResponseTooLong = errors.New("the backend server's answer is too long")

// copyBody copies a body that has no end marker. It relies on the transport, and
// on the announced length where there is one, to detect truncation.
func copyBody(ctx context.Context, resp *response, backendResp *provider.Response) error {
	buffer := make([]byte, readBufferBytes)
	total := int64(0)
	for {
		n, err := backendResp.Body.Read(buffer)
		total += int64(n)
		if total > maxResponseBytes {
			return errResponseTooLong
		}
		if n > 0 {
			if err := resp.append(ctx, buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return checkLength(total, backendResp.Length)
		}
		if err != nil {
			return err
		}
	}
}

// checkLength returns an error when the received length differs from the
// announced one. A negative announced length means that none was announced.
func checkLength(received, announced int64) error {
	if announced >= 0 && received != announced {
		return errors.New("the backend server's answer is short")
	}
	return nil
}
