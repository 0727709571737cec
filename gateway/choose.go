package gateway

import (
	"github.com/sirupsen/logrus"

	"github.com/sesameswitch/sesameswitch/directory"
	"github.com/sesameswitch/sesameswitch/routing"
)

// chooseServer returns the backend server for the next attempt, not one that asked for
// a pause or whose limit allows no request now.
func (s *Server) chooseServer(req *request) (chosenServer, bool) {
	usable := s.deps.Directory.Usable(req.service.Name)
	if len(usable) == 0 {
		return chosenServer{}, false
	}
	s.refreshCold(req.service, usable)
	candidates, excluded := s.candidates(req.service.Name, usable), s.excluded(req, usable)
	choice, ok := s.deps.Scheduler.Choose(s.deps.Clock.Now(), &req.job, candidates, excluded)
	if !ok {
		return chosenServer{}, false
	}
	awaitsToken := false
	if s.limits.AnyCold() && s.awaitsToken(usable[choice.Index]) {
		// A cold server for which there is no token is left to other requests. If there is
		// no other server, the request waits for one.
		other, found := s.deps.Scheduler.Choose(s.deps.Clock.Now(), &req.job, candidates, s.withoutToken(excluded, usable))
		if awaitsToken = !found; found {
			choice = other
		}
	}
	chosen := chosenServer{server: usable[choice.Index], choice: choice, awaitsToken: awaitsToken}
	if choice.TransferSource == "" {
		return chosen, true
	}
	for _, b := range usable {
		if b.ID == choice.TransferSource {
			chosen.transferSource = b.Address
		}
	}
	return chosen, true
}

// mayChooseAgain reports whether the backend server of an attempt that was not sent may be chosen
// again.
func (s *Server) mayChooseAgain(req *request, result attemptResult, chosen *directory.BackendServer) bool {
	if result == resultWithheld && req.lostToken() {
		return true
	}
	return result.unsent() && s.restarted(req, chosen)
}

// restarted reports whether the directory now has another incarnation of a backend server that
// was chosen before, so that the server may be chosen again: its entry has changed between the
// choice and the attempt. It returns true maxAttempts times for a request at most.
func (s *Server) restarted(req *request, chosen *directory.BackendServer) bool {
	for _, b := range s.deps.Directory.Usable(req.service.Name) {
		if b.ID == chosen.ID && (b.StartedAtMs != chosen.StartedAtMs || b.Address != chosen.Address) && req.rechosen < maxAttempts {
			req.rechosen++
			req.log.WithFields(logrus.Fields{"event": "server_restarted", "server": b.ID, "started_at_ms": b.StartedAtMs, "previous": chosen.StartedAtMs}).Info("the chosen backend server has restarted; nothing was sent, choosing again")
			return true
		}
	}
	return false
}

// usable returns the usable backend servers for a request; nil if its service is not known.
func (s *Server) usable(req *request) []*directory.BackendServer {
	if req.service == nil || req.service.ColdRate <= 0 {
		return nil
	}
	return s.deps.Directory.Usable(req.service.Name)
}

// candidateList is a list of usable backend servers as the scheduler sees it.
type candidateList struct {
	usable  []*directory.BackendServer
	servers []routing.Server
}

// candidates returns the usable backend servers of a service for the scheduler. It
// returns the same list until the directory returns another one, so that the
// scheduler indexes each list once.
func (s *Server) candidates(service string, usable []*directory.BackendServer) []routing.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.candidateLists[service]; len(known.usable) == len(usable) && &known.usable[0] == &usable[0] {
		return known.servers
	}
	servers := make([]routing.Server, len(usable))
	for i, b := range usable {
		servers[i] = routing.Server{ID: b.ID, DataCentre: b.DataCentre, SoftwareVersion: b.SoftwareVersion, StartedAtMs: b.StartedAtMs, Slots: b.Slots}
	}
	s.candidateLists[service] = candidateList{usable: usable, servers: servers}
	return servers
}
