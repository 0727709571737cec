package gateway

import (
	"net/http"

	"github.com/sirupsen/logrus"
)

// applyLateResponse applies what a backend server states about itself in a response to a
// request that was given up.
func (s *Server) applyLateResponse(request string, active *activeAttempt, status int, h http.Header) {
	info := s.deps.Codec.DecodeResponse(status, h)
	late := &activeAttempt{chosenServer: active.chosenServer, writtenAt: active.writtenAt}
	s.applyStatements(late, info)
	s.metrics.lateResponses.Inc(1)
	fields := logrus.Fields{"event": "late_response", "request": request, "server": late.server.ID, "status": status}
	if late.askedPause > 0 {
		fields["asked_pause_ms"] = late.askedPause.Milliseconds()
	}
	s.deps.Log.WithFields(fields).Info("response of a backend server to a request that was given up")
}

// applyStatements applies what a backend server states about itself in the head of a
// response. Attempts in flight go on.
func (s *Server) applyStatements(active *activeAttempt, info ResponseInfo) {
	server := active.server
	for _, field := range info.InvalidFields {
		s.metrics.ignoredField(field)
		if s.invalidFields.due(s.deps.Elapsed()) {
			s.deps.Log.WithFields(logrus.Fields{"event": "response_field_ignored", "server": server.ID, "field": field}).Warn("invalid header field of a backend server ignored")
		}
	}
	if info.OtherServer {
		s.recordReplaced(server)
	}
	if info.Leaving {
		s.deps.View.MarkLeaving(server)
	}
	if info.Pause > 0 {
		active.askedPause = info.Pause
		s.recordPause(server, info.Pause)
	}
	s.recordCold(server, info.ColdFor)
	s.recordLimit(active, info)
}
