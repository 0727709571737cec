package gateway

import (
	"cmp"
	"context"
	"net"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/sesameswitch/sesameswitch/origin"
)

const (
	// The marks begin entries of peerMessage.Known about where streams began: a report, a
	// question, and the two answers without a record: the only version that the sender knows of
	// the service, and that it knows none or several.
	originMark        = dataCentreMark + "origin="
	originAskMark     = dataCentreMark + "origin-of="
	originSoleMark    = dataCentreMark + "origin-sole="
	originUnknownMark = dataCentreMark + "origin-unknown="
	// originHolders is how many gateways are told where a stream began, besides the one that
	// began it: a part of the fleet must be able to fail at the same time.
	originHolders = 3
	// originAsked is how many gateways are asked, at least: gateways do not know the same peers
	// at any time.
	originAsked = 6
	// maxOriginBytes limits the entries about streams in one datagram.
	maxOriginBytes = 1100
)

// OriginExchange provides and accepts reports about where streams began.
type OriginExchange interface {
	// OriginsChanged returns a channel that gets a value when there are new reports.
	// TakeOriginReports returns them.
	OriginsChanged() <-chan struct{}
	TakeOriginReports() []origin.Report
	// ApplyOrigins applies reports of another gateway.
	ApplyOrigins(now time.Time, reports []origin.Report)
	// AnswerOrigin returns what this gateway knows of a stream about which another one asks.
	AnswerOrigin(now time.Time, q origin.Question) origin.Answer
	// ApplyOriginAnswer applies the answer of another gateway.
	ApplyOriginAnswer(from string, a origin.Answer)
}

// holdersOf returns the first live gateways in the order of the key, without this one. All
// gateways that know each other have the same order.
func (p *Peers) holdersOf(now time.Time, key origin.Key, count int) []string {
	type ranked struct {
		address string
		rank    uint64
	}
	var live []ranked
	for _, address := range p.livePeers(now) {
		live = append(live, ranked{address, xxhash.Sum64String(string(key[:]) + address)})
	}
	slices.SortFunc(live, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	var holders []string
	for _, r := range live[:min(count, len(live))] {
		holders = append(holders, r.address)
	}
	return holders
}

// sendOrigins tells the holders of streams where these began, at once, until the context
// ends: the callers of a gateway that is killed next take their streams up.
func (p *Peers) sendOrigins(ctx context.Context, conn *net.UDPConn) {
	if p.Origins == nil {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.Origins.OriginsChanged():
			p.tellOrigins(conn, p.Origins.TakeOriginReports())
		}
	}
}

// tellOrigins sends each report to the holders of its stream.
func (p *Peers) tellOrigins(conn *net.UDPConn, reports []origin.Report) {
	now := p.clock.Now()
	byHolder := make(map[string][]origin.Report)
	for _, r := range reports {
		for _, address := range p.holdersOf(now, r.Key, originHolders) {
			byHolder[address] = append(byHolder[address], r)
		}
	}
	for address, told := range byHolder {
		p.sendEntries(conn, []string{address}, originEntries(told), maxOriginBytes)
	}
}

// originEntries encodes reports, those with the same origin together.
func originEntries(reports []origin.Report) []string {
	type group struct {
		origin  origin.Origin
		seconds int
	}
	keys := make(map[group][]string)
	for _, r := range reports {
		g := group{r.Origin, int(r.Keep / time.Second)}
		keys[g] = append(keys[g], r.Key.String())
	}
	const keysPerEntry = 32
	var entries []string
	for g, all := range keys {
		for some := range slices.Chunk(all, keysPerEntry) {
			entries = append(entries, originMark+strconv.Itoa(g.seconds)+"/"+originText(g.origin)+"/"+strings.Join(some, ","))
		}
	}
	return entries
}

// originText encodes an origin as "SERVICE/VERSION".
func originText(o origin.Origin) string {
	return url.PathEscape(o.Service) + "/" + url.PathEscape(o.SoftwareVersion)
}

// parseOrigin parses the two parts of an origin.
func parseOrigin(service, version string) (origin.Origin, bool) {
	service, serviceErr := url.PathUnescape(service)
	version, versionErr := url.PathUnescape(version)
	return origin.Origin{Service: service, SoftwareVersion: version}, cmp.Or(serviceErr, versionErr) == nil && service != ""
}

// parseOriginReports parses "SECONDS/SERVICE/VERSION/KEY,KEY...".
func parseOriginReports(text string) ([]origin.Report, bool) {
	parts := strings.Split(text, "/")
	if len(parts) != 4 {
		return nil, false
	}
	seconds, err := strconv.ParseUint(parts[0], 10, 31)
	began, valid := parseOrigin(parts[1], parts[2])
	if err != nil || !valid {
		return nil, false
	}
	var reports []origin.Report
	for keyText := range strings.SplitSeq(parts[3], ",") {
		key, valid := origin.ParseKey(keyText)
		if !valid {
			return nil, false
		}
		reports = append(reports, origin.Report{Key: key, Origin: began, Keep: time.Duration(seconds) * time.Second}) //nolint:gosec // 31 bits
	}
	return reports, true
}

// encodeOriginAnswer encodes an answer of any kind but origin.Recorded, which is a report.
func encodeOriginAnswer(a origin.Answer) string {
	switch a.Kind {
	case origin.OneVersion:
		return originSoleMark + a.Key.String() + "/" + originText(a.Origin)
	case origin.SeveralVersions:
		return originUnknownMark + a.Key.String() + "/several"
	default:
		return originUnknownMark + a.Key.String()
	}
}

// parseOriginAnswer parses an entry that encodeOriginAnswer has made.
func parseOriginAnswer(entry string) (a origin.Answer, valid bool) {
	text, isUnknown := strings.CutPrefix(entry, originUnknownMark)
	if isUnknown {
		keyText, several := strings.CutSuffix(text, "/several")
		if several {
			a.Kind = origin.SeveralVersions
		}
		a.Key, valid = origin.ParseKey(keyText)
		return a, valid
	}
	text, isSole := strings.CutPrefix(entry, originSoleMark)
	parts := strings.Split(text, "/")
	if !isSole || len(parts) != 3 {
		return a, false
	}
	a.Kind = origin.OneVersion
	var validKey bool
	a.Key, validKey = origin.ParseKey(parts[0])
	a.Origin, valid = parseOrigin(parts[1], parts[2])
	return a, valid && validKey
}

// OriginHolders implements OriginAsker.
func (p *Peers) OriginHolders(key origin.Key) []string {
	return p.holdersOf(p.clock.Now(), key, originAsked)
}

// AskOrigin implements OriginAsker.
func (p *Peers) AskOrigin(q origin.Question, targets []string) {
	if conn := p.conn.Load(); conn != nil {
		entry := originAskMark + q.Key.String() + "/" + url.PathEscape(q.Service) + "/" + strconv.FormatInt(q.Span.Milliseconds(), 10)
		p.sendEntries(conn, targets, []string{entry}, maxOriginBytes)
	}
}

// parseOriginQuestion parses "KEY/SERVICE/MILLISECONDS".
func parseOriginQuestion(text string) (q origin.Question, valid bool) {
	parts := strings.Split(text, "/")
	if len(parts) != 3 {
		return q, false
	}
	key, validKey := origin.ParseKey(parts[0])
	service, serviceErr := url.PathUnescape(parts[1])
	ms, msErr := strconv.ParseUint(parts[2], 10, 31)
	return origin.Question{Key: key, Service: service, Span: time.Duration(ms) * time.Millisecond}, validKey && cmp.Or(serviceErr, msErr) == nil //nolint:gosec // 31 bits
}

// applyOriginEntries applies what a message says about streams, and answers its questions.
func (p *Peers) applyOriginEntries(conn *net.UDPConn, now time.Time, message peerMessage) {
	if p.Origins == nil {
		return
	}
	var answers []string
	for _, entry := range message.Known {
		if text, isReport := strings.CutPrefix(entry, originMark); isReport {
			if reports, valid := parseOriginReports(text); valid {
				p.Origins.ApplyOrigins(now, reports)
				for _, r := range reports {
					p.Origins.ApplyOriginAnswer(message.From, origin.Answer{Key: r.Key, Kind: origin.Recorded, Origin: r.Origin})
				}
			}
		} else if text, isQuestion := strings.CutPrefix(entry, originAskMark); isQuestion {
			if q, valid := parseOriginQuestion(text); valid {
				answers = append(answers, p.answerOrigin(now, q))
			}
		} else if a, valid := parseOriginAnswer(entry); valid {
			p.Origins.ApplyOriginAnswer(message.From, a)
		}
	}
	p.sendEntries(conn, []string{message.From}, answers, maxOriginBytes)
}

// answerOrigin returns the entry that answers a question.
func (p *Peers) answerOrigin(now time.Time, q origin.Question) string {
	a := p.Origins.AnswerOrigin(now, q)
	p.log.WithFields(logrus.Fields{"event": "origin_answered", "stream": q.Key.String(), "answer": a.Kind.String(), "software_version": a.Origin.SoftwareVersion}).Debug("another gateway asked where a stream began")
	if a.Kind == origin.Recorded {
		return originEntries([]origin.Report{{Key: q.Key, Origin: a.Origin, Keep: q.Span}})[0]
	}
	return encodeOriginAnswer(a)
}
