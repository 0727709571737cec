package gateway

import (
	"github.com/sesameswitch/sesameswitch/directory"
	"github.com/sesameswitch/sesameswitch/retry"
)

// continuation limits the backend servers at which a stream may go on: to those with the
// software version that began it or, if that is unknown, to the server itself. Events of two
// versions do not fit together, and servers do not check this.
type continuation struct {
	softwareVersion string
	server          retry.Incarnation
}

// continuationAt returns the limits of a stream whose first event came from the server.
func continuationAt(b *directory.BackendServer) *continuation {
	return &continuation{softwareVersion: b.SoftwareVersion, server: incarnationOf(b)}
}

// permits reports whether the stream may go on at the server. A stream that has not begun has
// no limits, and c is nil.
func (c *continuation) permits(b *directory.BackendServer) bool {
	switch {
	case c == nil:
		return true
	case c.softwareVersion == "":
		return incarnationOf(b) == c.server
	default:
		return b.SoftwareVersion == c.softwareVersion
	}
}

// hasOtherServer reports whether a usable server is left that the request has not tried and
// at which it may go on.
func (s *Server) hasOtherServer(req *request) bool {
	for _, b := range s.deps.Directory.Usable(req.service.Name) {
		if !req.excluded[b.ID] && req.continuation.permits(b) {
			return true
		}
	}
	return false
}
