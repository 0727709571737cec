// Package httpprovider implements the interfaces of package platform over
// HTTP/1.1.
//
// A caller may rely on a call that is not repeatable being written to the
// network at most once: it goes out on a connection of its own, follows no
// redirect, uses no proxy and is never sent again by the transport. An error
// of type *NotSentError says that no byte of the call was written; after any
// other error the call may have run. Every call ends with its context.
package httpprovider

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

const (
	dialTimeout            = 2 * time.Second
	keepAlivePeriod        = 15 * time.Second
	idleConnTimeout        = 30 * time.Second
	maxIdleConnsPerHost    = 1024
	maxResponseHeaderBytes = 64 << 10
)

// newTransport returns an HTTP/1.1 transport without a proxy. Without
// keep-alive, each call has a fresh connection, which the transport never
// uses to send a call a second time.
func newTransport(keepAlive bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		DisableKeepAlives:      !keepAlive,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		TLSNextProto:           map[string]func(string, *tls.Conn) http.RoundTripper{},
	}
}
