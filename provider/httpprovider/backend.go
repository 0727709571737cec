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

	"github.com/sesameswitch/sesameswitch/internal/httphead"
	"github.com/sesameswitch/sesameswitch/provider"
)

// NotSentError reports that a request failed before any byte of it was written, so
// the server cannot have received it.
type NotSentError struct {
	Cause error
}

// Error returns the reason why the request was not sent.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("request not sent: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// NotSent returns true. Code that does not import this package recognizes the error
// by this method.
func (e *NotSentError) NotSent() bool { return true }

// hopByHopHeaders are headers that apply to a single connection. They are not
// forwarded in either direction.
var hopByHopHeaders = map[string]bool{
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

// BackendServer is a client of one backend server. It sends retryable requests over
// pooled connections, and each request that is not retryable over a new connection.
type BackendServer struct {
	baseURL   string
	pooled    *http.Transport
	singleUse *http.Transport
}

var _ provider.BackendServer = (*BackendServer)(nil)

// NewBackendServer returns a client of the backend server at baseURL.
func NewBackendServer(baseURL string) *BackendServer {
	return &BackendServer{
		baseURL:   strings.TrimRight(baseURL, "/"),
		pooled:    newTransport(true),
		singleUse: newTransport(false),
	}
}

// Do sends the request and returns the response as soon as its head has arrived.
// Reading the body fails if the connection breaks before the announced length or, without
// one, before the server has closed it.
// Redirects are returned and not followed.
func (b *BackendServer) Do(ctx context.Context, req provider.Request) (*provider.Response, error) {
	var conn atomic.Pointer[writeErrorConn] // the connection of the last attempt; nil before it
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn.Store(info.Conn.(*writeErrorConn)) },
	}
	httpReq, err := b.newRequest(httphead.Trace(httptrace.WithClientTrace(ctx, trace)), req)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	httpResp, err := b.transport(req).RoundTrip(httpReq) //nolint:bodyclose // the caller closes Response.Body
	if err == nil {
		return newResponse(httpResp, conn.Load()), nil
	}
	if conn.Load() == nil {
		return nil, &NotSentError{Cause: err}
	}
	return nil, eris.Wrapf(err, "%s %s", req.Method, req.Path)
}

func (b *BackendServer) transport(req provider.Request) *http.Transport {
	if req.Retryable {
		return b.pooled
	}
	return b.singleUse
}

func (b *BackendServer) newRequest(ctx context.Context, req provider.Request) (*http.Request, error) {
	httpReq, err := http.NewRequestWithContext(ctx, req.Method, b.baseURL+req.Path, bytes.NewReader(req.Body))
	if err != nil {
		return nil, err
	}
	if !req.Retryable {
		httpReq.GetBody = nil // without it the transport cannot send the body again
	}
	for name, value := range req.Header {
		if !hopByHopHeaders[http.CanonicalHeaderKey(name)] {
			httpReq.Header.Set(name, value)
		}
	}
	return httpReq, nil
}

func newResponse(httpResp *http.Response, conn *writeErrorConn) *provider.Response {
	header := make(map[string]string, len(httpResp.Header))
	for name, values := range httpResp.Header {
		if !hopByHopHeaders[name] {
			header[name] = strings.Join(values, ", ")
		}
	}
	return &provider.Response{
		Status: httpResp.StatusCode,
		Header: header,
		Length: httpResp.ContentLength,
		Body:   responseBody(httpResp, conn),
	}
}
