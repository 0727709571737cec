package httpprovider

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/provider"
)

// NotSentError reports that a call failed before any byte of it was written:
// it certainly did not reach the server.
type NotSentError struct {
	Cause error
}

// Error describes why the call was not sent.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("call not sent: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// NotSent marks the error for code that does not know this package.
func (e *NotSentError) NotSent() bool { return true }

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = map[string]bool{
	"Connection":          true,
	"Expect":              true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// BackendServer carries calls to one backend server.
type BackendServer struct {
	base   string
	pooled *http.Transport
	fresh  *http.Transport
}

var _ provider.BackendServer = (*BackendServer)(nil)

// NewBackendServer returns a client of the backend server at baseURL.
func NewBackendServer(baseURL string) *BackendServer {
	return &BackendServer{
		base:   strings.TrimRight(baseURL, "/"),
		pooled: newTransport(true),
		fresh:  newTransport(false),
	}
}

// Do sends the call once and returns the head of the answer. The answer's
// body ends with an error when the connection breaks before its announced
// length. Redirects are returned as they are.
func (b *BackendServer) Do(ctx context.Context, call provider.Request) (*provider.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	request, err := b.request(httptrace.WithClientTrace(ctx, trace), call)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	response, err := b.transport(call).RoundTrip(request) //nolint:bodyclose // the caller closes Reply.Body
	if err == nil {
		return reply(response), nil
	}
	if !connected.Load() {
		return nil, &NotSentError{Cause: err}
	}
	return nil, eris.Wrapf(err, "%s %s", call.Method, call.Path)
}

func (b *BackendServer) transport(call provider.Request) *http.Transport {
	if call.Retryable {
		return b.pooled
	}
	return b.fresh
}

func (b *BackendServer) request(ctx context.Context, call provider.Request) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, b.base+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	if !call.Retryable {
		request.GetBody = nil
	}
	for name, value := range call.Header {
		if !hopHeaders[http.CanonicalHeaderKey(name)] {
			request.Header.Set(name, value)
		}
	}
	return request, nil
}

func reply(response *http.Response) *provider.Response {
	header := make(map[string]string, len(response.Header))
	for name, values := range response.Header {
		if !hopHeaders[name] {
			header[name] = strings.Join(values, ", ")
		}
	}
	return &provider.Response{
		Status: response.StatusCode,
		Header: header,
		Length: response.ContentLength,
		Body:   response.Body,
	}
}
