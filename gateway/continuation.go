package gateway

import (
	"github.com/sesameswitch/sesameswitch/directory"
	"github.com/sesameswitch/sesameswitch/internal/mutation"
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
func (s *Server) continuationAt(b *directory.BackendServer) *continuation {
	if s.doubted(b) {
		return &continuation{server: incarnationOf(b)}
	}
	return &continuation{softwareVersion: b.SoftwareVersion, server: incarnationOf(b)}
}

// permits reports whether the stream may go on at the server.
func (c *continuation) permits(b *directory.BackendServer) bool {
	if c.softwareVersion == "" {
		return incarnationOf(b) == c.server
	}
	return b.SoftwareVersion == c.softwareVersion
}

// mayUse reports whether the request may go on at the server. A request that has not begun may
// use any.
func (s *Server) mayUse(req *request, b *directory.BackendServer) bool {
	return req.continuation == nil || mutation.Off(GuardStreamVersion) || req.continuation.permits(b) && !s.doubted(b)
}

// hasOtherServer reports whether a usable server is left that the request has not tried and
// at which it may go on.
func (s *Server) hasOtherServer(req *request) bool {
	for _, b := range s.deps.Directory.Usable(req.service.Name) {
		if !req.excluded[b.ID] && s.mayUse(req, b) {
			return true
		}
	}
	return false
}
