package gateway

import (
	"cmp"
	"context"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/origin"
	"github.com/sesameswitch/sesameswitch/quarantine"
)

const (
	// The marks begin entries of peerMessage.Known that report what is known of requests
	// that crash backend servers. In an entry with beganMark the response had begun.
	crashMark = dataCentreMark + "crash="
	beganMark = dataCentreMark + "crash-begun="
	soundMark = dataCentreMark + "sound="
	ruleMark  = dataCentreMark + "quarantine="
	liftMark  = dataCentreMark + "lift="
	trialMark = dataCentreMark + "trial="
	// maxCrashReportBytes limits the reports in one datagram.
	maxCrashReportBytes = 1100
	// maxRepeatedReports limits the reports that each round of hellos repeats.
	maxRepeatedReports = 24
	// rulesRepeatedBy is how many gateways repeat rules in one round, so that each of these
	// informs a part of the gateways, and a restarted one learns of them within a second.
	rulesRepeatedBy = 16
	// minCrashReportInterval is the least time between two messages with new reports.
	minCrashReportInterval = 10 * time.Millisecond
)

// CrashExchange provides and accepts reports about requests that crash backend servers.
type CrashExchange interface {
	// NewCrashReports returns what peers must know at once; CrashReportsChanged returns a
	// channel that gets a value when there is something. CrashReports returns at most
	// limit reports that peers may lack, with rules or without.
	NewCrashReports() []quarantine.Report
	CrashReportsChanged() <-chan struct{}
	CrashReports(now time.Time, limit int, withRules bool) []quarantine.Report
	// ApplyCrashReports applies reports of another gateway.
	ApplyCrashReports(now time.Time, from string, reports []quarantine.Report)
}

// NewCrashReports implements CrashExchange.
func (s *Server) NewCrashReports() []quarantine.Report { return s.quarantine.NewReports() }

// CrashReportsChanged implements CrashExchange.
func (s *Server) CrashReportsChanged() <-chan struct{} { return s.quarantine.Changed() }

// CrashReports implements CrashExchange.
func (s *Server) CrashReports(now time.Time, limit int, withRules bool) []quarantine.Report {
	return s.quarantine.Reports(now, limit, withRules)
}

// ApplyCrashReports implements CrashExchange.
func (s *Server) ApplyCrashReports(now time.Time, from string, reports []quarantine.Report) {
	for _, r := range reports {
		if r.Kind == quarantine.CrashReport {
			s.doubt(r.Server, r.At, from)
		}
	}
	s.logQuarantine(s.quarantine.Apply(now, reports...), from)
}

// sendCrashReports sends new reports to all live peers until the context ends.
func (p *Peers) sendCrashReports(ctx context.Context, conn *net.UDPConn) {
	if p.Crashes == nil {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.Crashes.CrashReportsChanged():
			now := p.clock.Now()
			for _, message := range p.crashMessages(now, p.Crashes.NewCrashReports()) {
				p.send(conn, p.livePeers(now), message)
			}
			if !clock.Sleep(ctx, minCrashReportInterval) {
				return
			}
		}
	}
}

// repeatedCrashMessages returns the messages with reports that peers may lack. Rules are
// repeated by about rulesRepeatedBy gateways in each round, all gateways in turn.
func (p *Peers) repeatedCrashMessages() []peerMessage {
	if p.Crashes == nil {
		return nil
	}
	now := p.clock.Now()
	p.mu.Lock()
	every := max(1, p.liveCountAt(now)/rulesRepeatedBy)
	p.crashRound++
	withRules := (p.crashRound+int(orderOf("", p.address)%uint64(every)))%every == 0 //nolint:gosec // small numbers
	p.mu.Unlock()
	return p.crashMessages(now, p.Crashes.CrashReports(now, maxRepeatedReports, withRules))
}

// livePeers returns the addresses of the live peers.
func (p *Peers) livePeers(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var live []string
	for address, r := range p.known {
		if r.live(now) {
			live = append(live, address)
		}
	}
	return live
}

// crashMessages divides reports into messages that each fit into a datagram.
func (p *Peers) crashMessages(now time.Time, reports []quarantine.Report) []peerMessage {
	var entries []string
	for _, r := range reports {
		entry := encodeCrashReport(now, r)
		if len(entry) > maxCrashReportBytes {
			p.log.WithFields(logrus.Fields{"event": "crash_report_too_large", "bytes": len(entry)}).Error("report about crashes does not fit into a datagram; not sent")
			continue
		}
		entries = append(entries, entry)
	}
	var messages []peerMessage
	for _, some := range splitEntries(entries, maxCrashReportBytes) {
		messages = append(messages, p.entriesMessage(some))
	}
	return messages
}

// crashReportMarks are the marks by kind of report.
var crashReportMarks = map[quarantine.ReportKind]string{
	quarantine.CrashReport: crashMark, quarantine.SoundReport: soundMark, quarantine.RuleReport: ruleMark, quarantine.LiftReport: liftMark, quarantine.TrialReport: trialMark,
}

// encodeCrashReport encodes a report as "MARK AGE/SECOND/SERVER/TRAIT,TRAIT...": the age
// of the event, and in place of SECOND the time since the attempt was sent or until the
// next trial, all in milliseconds.
func encodeCrashReport(now time.Time, r quarantine.Report) string {
	mark, second := crashReportMarks[r.Kind], time.Duration(0)
	switch r.Kind {
	case quarantine.CrashReport:
		second = now.Sub(r.SentAt)
		if r.Begun {
			mark = beganMark
		}
	case quarantine.RuleReport:
		second = r.TrialAt.Sub(now)
	case quarantine.SoundReport, quarantine.LiftReport, quarantine.TrialReport:
	}
	traits := make([]string, len(r.Traits))
	for i, t := range r.Traits {
		traits[i] = string(t)
	}
	return mark + strconv.FormatInt(now.Sub(r.At).Milliseconds(), 10) + "/" + strconv.FormatInt(second.Milliseconds(), 10) + "/" + url.PathEscape(string(r.Server)) + "/" + strings.Join(traits, ",")
}

// parseCrashReport parses an entry of peerMessage.Known.
func parseCrashReport(now time.Time, entry string) (r quarantine.Report, valid bool) {
	mark, text, _ := strings.Cut(entry, "=")
	switch mark + "=" {
	case crashMark:
		r.Kind = quarantine.CrashReport
	case beganMark:
		r.Kind, r.Begun = quarantine.CrashReport, true
	case soundMark:
		r.Kind = quarantine.SoundReport
	case ruleMark:
		r.Kind = quarantine.RuleReport
	case liftMark:
		r.Kind = quarantine.LiftReport
	case trialMark:
		r.Kind = quarantine.TrialReport
	default:
		return r, false
	}
	parts := strings.SplitN(text, "/", 4)
	if len(parts) < 4 || parts[3] == "" {
		return r, false
	}
	age, ageErr := strconv.ParseInt(parts[0], 10, 32)
	second, secondErr := strconv.ParseInt(parts[1], 10, 32)
	server, serverErr := url.PathUnescape(parts[2])
	if cmp.Or(ageErr, secondErr, serverErr) != nil || age < 0 || second < 0 {
		return r, false
	}
	r.At, r.Server = now.Add(-time.Duration(age)*time.Millisecond), quarantine.ServerID(server)
	switch r.Kind {
	case quarantine.CrashReport:
		r.SentAt = now.Add(-time.Duration(second) * time.Millisecond)
	case quarantine.RuleReport:
		r.TrialAt = now.Add(time.Duration(second) * time.Millisecond)
	case quarantine.SoundReport, quarantine.LiftReport, quarantine.TrialReport:
	}
	for t := range strings.SplitSeq(parts[3], ",") {
		if t == "" || len(t) > maxTraitBytes {
			return r, false
		}
		r.Traits = append(r.Traits, quarantine.Trait(t))
	}
	return r, true
}

// applyCrashEntries applies the reports in a message.
func (p *Peers) applyCrashEntries(now time.Time, message peerMessage) {
	if p.Crashes == nil {
		return
	}
	var reports []quarantine.Report
	for _, entry := range message.Known {
		if r, valid := parseCrashReport(now, entry); valid {
			reports = append(reports, r)
		}
	}
	if len(reports) > 0 {
		p.Crashes.ApplyCrashReports(now, message.From, reports)
	}
}

// isReportEntry reports whether an entry of peerMessage.Known reports something about
// backend servers or streams.
func isReportEntry(entry string) bool {
	for _, mark := range []string{limitMark, speedMark, evacuationMark, crashMark, beganMark, soundMark, ruleMark, liftMark, trialMark, tokenAskMark, tokenLendMark} {
		if strings.HasPrefix(entry, mark) {
			return true
		}
	}
	return origin.IsEntry(entry)
}
