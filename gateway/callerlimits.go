package gateway

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/deployment"
	"github.com/sesameswitch/sesameswitch/ingress"
)

const (
	// requestMemoryShare is the share of the memory of the process that requests may hold. The
	// rest is for the state of the gateway, connections, and what the garbage collector has not
	// freed yet.
	requestMemoryShare = 0.25
	// defaultMemoryBytes is the memory of the process if the settings state none.
	defaultMemoryBytes = 256 << 20
)

// requestMemory returns how many bytes requests may hold in a process with the memory limit;
// zero means that the settings state none.
func requestMemory(limit int64) int64 {
	if limit == 0 {
		limit = defaultMemoryBytes
	}
	return int64(requestMemoryShare * float64(limit))
}

const (
	// reservedDescriptors is the number of descriptors that the platform reserves for files.
	reservedDescriptors = 200
	// callerDescriptorShare is the share of the other descriptors that connections of callers
	// may use. The rest is for backend servers, the store and the other listeners.
	callerDescriptorShare = 0.6
	// defaultDescriptors is the limit of descriptors if the settings state none.
	defaultDescriptors = 4096
	// connectionMemoryShare is the share of the memory of the process that idle connections of
	// callers may use, connectionBytes what one of them takes: stack, buffers, bookkeeping.
	connectionMemoryShare = 0.2
	connectionBytes       = 16 << 10
	// minCallerConnections is the lowest limit of connections of callers.
	minCallerConnections = 16
)

// maxCallerConnections returns how many connections of callers may be open.
func maxCallerConnections(l deployment.ResourceLimits) int {
	descriptors, memory := l.FileDescriptors, l.MemoryBytes
	if descriptors == 0 {
		descriptors = defaultDescriptors
	}
	if memory == 0 {
		memory = defaultMemoryBytes
	}
	byDescriptors := int(callerDescriptorShare * float64(descriptors-reservedDescriptors))
	byMemory := int(connectionMemoryShare * float64(memory) / connectionBytes)
	return max(minCallerConnections, min(byDescriptors, byMemory))
}

// connectionLimitReporter returns a function that counts and logs connections of callers that
// are closed because there are too many.
func (d *Daemon) connectionLimitReporter() func(ingress.ConnectionState) {
	lines := &logInterval{}
	return func(closed ingress.ConnectionState) {
		d.metrics.Counter("sesame_gateway_connections_closed_total", "state", closed.String()).Inc(1)
		if lines.due(clock.SinceBoot()) {
			d.log.WithFields(logrus.Fields{
				"event": "connection_limit", "closed": closed.String(), "limit": maxCallerConnections(d.settings.Load().Limits),
			}).Warn("too many connections of callers; one was closed")
		}
	}
}

// onIngressRefusal records a request that ingress refused because its head or
// body was malformed, too large or received too slowly.
func (d *Daemon) onIngressRefusal(r ingress.Refusal) {
	usage := d.memory.Usage()
	info := d.requestInfoOf(r.Header)
	d.log.WithFields(logrus.Fields{
		"event": "request_refused", "request": info.ID, "account": d.accountName(info), "status": r.Status, "reason": r.Reason, "no_answer": NoAnswerRefused,
		"retry_after_ms": r.RetryAfter.Milliseconds(), "memory_used": usage.Used, "memory_limit": usage.Limit,
	}).Info("request refused by ingress: its head or body could not be read")
	d.server.metrics.refused("", "unreadable")
	d.server.metrics.unanswered(NoAnswerRefused)
}

// accountOf returns the name of the account of a request whose body has not been read; empty if it
// is not known.
func (d *Daemon) accountOf(r *http.Request) string { return d.accountName(d.requestInfoOf(r.Header)) }

// accountName returns the name of the account of a request; empty if it has no key that the active
// configuration knows.
func (d *Daemon) accountName(info *RequestInfo) string {
	table := d.view.Table()
	if table == nil {
		return ""
	}
	account := table.Authenticate(info.APIKey)
	if account == nil {
		return ""
	}
	return account.Name
}

// requestInfoOf returns the metadata of a request that has not been read completely; empty if they
// are not known.
func (d *Daemon) requestInfoOf(header http.Header) *RequestInfo {
	if header == nil {
		return &RequestInfo{}
	}
	info, err := d.platform.Codec.DecodeRequest(&ingress.Request{Header: header})
	if err != nil {
		return &RequestInfo{} // refused once its body has been read
	}
	return info
}

// ingressRefusalHeader returns the header of the response to a request that ingress refused. The
// delays are spread from minMemoryDelayShare of the stated one on: callers that were refused
// together find room one after another, as the requests of others end.
func (d *Daemon) ingressRefusalHeader(r ingress.Refusal) http.Header {
	delay := time.Duration((minMemoryDelayShare + d.server.random()) * float64(r.RetryAfter))
	return d.platform.Codec.RefusalHeader(d.requestInfoOf(r.Header), delay)
}

// minMemoryDelayShare is the smallest delay of a caller that was refused for lack of memory, as a
// share of the stated one.
const minMemoryDelayShare = 0.25
