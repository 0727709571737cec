// Package httpprovider implements the interfaces of package provider over
// HTTP/1.1.
//
// Callers may assume that a request that is not retryable is written to the network
// at most once: it uses a new connection and no proxy, follows no redirect and is
// not retried by the transport. An error of type *NotSentError means that no byte
// of the request was written. After any other error the request may have run.
// Every call returns when its context ends.
package httpprovider

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

const (
	dialTimeout            = 2 * time.Second
	tcpKeepAliveInterval   = 15 * time.Second
	idleConnTimeout        = 30 * time.Second
	maxIdleConnsPerHost    = 1024
	maxResponseHeaderBytes = 64 << 10
)

// newTransport returns an HTTP/1.1 transport without a proxy. Without
// reuseConnections, each request uses a new connection, so the transport does not
// retry requests: it only does so when a reused connection fails. An empty map
// TLSNextProto disables HTTP/2.
func newTransport(reuseConnections bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: tcpKeepAliveInterval}
	return &http.Transport{
		DialContext:            dialWriteErrorConn(dialer),
		DisableKeepAlives:      !reuseConnections,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		TLSNextProto:           map[string]func(string, *tls.Conn) http.RoundTripper{},
	}
}
