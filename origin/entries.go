package origin

import (
	"cmp"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The marks begin the entries of messages between gateways and holders about where streams
// began: a report, a question, and the answers without a record: the only version that the
// sender knows of the service, and that it knows none or several.
//
// earlierSoleMark begins an answer of earlier gateways. They conclude that one version has
// served also from servers that have all run for long, which shows nothing about those that
// have left; their answer is ignored.
const (
	reportMark      = "@origin="
	questionMark    = "@origin-of="
	soleMark        = "@origin-only="
	earlierSoleMark = "@origin-sole="
	unknownMark     = "@origin-unknown="
)

// keysPerEntry limits the reports in one entry.
const keysPerEntry = 32

// IsEntry reports whether an entry of a message concerns streams.
func IsEntry(entry string) bool {
	return slices.ContainsFunc([]string{reportMark, questionMark, soleMark, earlierSoleMark, unknownMark}, func(mark string) bool { return strings.HasPrefix(entry, mark) })
}

// FirstHolders returns the first of the addresses in the order of the key (rendezvous hashing):
// all processes that know the same addresses choose the same ones, and few of them change when
// an address joins or leaves.
func FirstHolders(key Key, addresses []string, count int) []string {
	type ranked struct {
		address string
		rank    uint64
	}
	order := make([]ranked, len(addresses))
	for i, address := range addresses {
		order[i] = ranked{address, xxhash.Sum64String(string(key[:]) + address)}
	}
	slices.SortFunc(order, func(a, b ranked) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.address, b.address)) })
	holders := make([]string, min(count, len(order)))
	for i := range holders {
		holders[i] = order[i].address
	}
	return holders
}

// EncodeReports encodes reports, those with the same origin together.
func EncodeReports(reports []Report) []string {
	type group struct {
		origin  Origin
		seconds int
	}
	keys := make(map[group][]string)
	for _, r := range reports {
		g := group{r.Origin, int(r.Keep / time.Second)}
		keys[g] = append(keys[g], r.Key.String())
	}
	var entries []string
	for g, all := range keys {
		for some := range slices.Chunk(all, keysPerEntry) {
			entries = append(entries, reportMark+strconv.Itoa(g.seconds)+"/"+originText(g.origin)+"/"+strings.Join(some, ","))
		}
	}
	return entries
}

// originText encodes an origin as "SERVICE/VERSION".
func originText(o Origin) string {
	return url.PathEscape(o.Service) + "/" + url.PathEscape(o.SoftwareVersion)
}

// parseOrigin parses the two parts of an origin.
func parseOrigin(service, version string) (Origin, bool) {
	service, serviceErr := url.PathUnescape(service)
	version, versionErr := url.PathUnescape(version)
	return Origin{Service: service, SoftwareVersion: version}, cmp.Or(serviceErr, versionErr) == nil && service != ""
}

// ParseReports parses an entry that EncodeReports has made, "SECONDS/SERVICE/VERSION/KEY,KEY..."
// after its mark.
func ParseReports(entry string) ([]Report, bool) {
	text, isReport := strings.CutPrefix(entry, reportMark)
	parts := strings.Split(text, "/")
	if !isReport || len(parts) != 4 {
		return nil, false
	}
	seconds, err := strconv.ParseUint(parts[0], 10, 31)
	began, valid := parseOrigin(parts[1], parts[2])
	if err != nil || !valid {
		return nil, false
	}
	var reports []Report
	for keyText := range strings.SplitSeq(parts[3], ",") {
		key, valid := ParseKey(keyText)
		if !valid {
			return nil, false
		}
		reports = append(reports, Report{Key: key, Origin: began, Keep: time.Duration(seconds) * time.Second}) //nolint:gosec // 31 bits
	}
	return reports, true
}

// EncodeQuestion encodes a question as "KEY/SERVICE/MILLISECONDS" after its mark.
func EncodeQuestion(q Question) string {
	return questionMark + q.Key.String() + "/" + url.PathEscape(q.Service) + "/" + strconv.FormatInt(q.Span.Milliseconds(), 10)
}

// ParseQuestion parses an entry that EncodeQuestion has made.
func ParseQuestion(entry string) (q Question, valid bool) {
	text, isQuestion := strings.CutPrefix(entry, questionMark)
	parts := strings.Split(text, "/")
	if !isQuestion || len(parts) != 3 {
		return q, false
	}
	key, validKey := ParseKey(parts[0])
	service, serviceErr := url.PathUnescape(parts[1])
	ms, msErr := strconv.ParseUint(parts[2], 10, 31)
	return Question{Key: key, Service: service, Span: time.Duration(ms) * time.Millisecond}, validKey && cmp.Or(serviceErr, msErr) == nil //nolint:gosec // 31 bits
}

// EncodeAnswer encodes the answer to a question. A Recorded one is a report that is kept for
// the span of the question.
func EncodeAnswer(q Question, a Answer) string {
	switch a.Kind {
	case Recorded:
		return EncodeReports([]Report{{Key: q.Key, Origin: a.Origin, Keep: q.Span}})[0]
	case OneVersion:
		return soleMark + a.Key.String() + "/" + originText(a.Origin)
	case SeveralVersions:
		return unknownMark + a.Key.String() + "/several"
	default:
		return unknownMark + a.Key.String()
	}
}

// ParseAnswer parses an answer without a record. The one of an earlier gateway that it knows a
// single version counts as Unknown.
func ParseAnswer(entry string) (a Answer, valid bool) {
	if text, isUnknown := strings.CutPrefix(entry, unknownMark); isUnknown {
		keyText, several := strings.CutSuffix(text, "/several")
		if several {
			a.Kind = SeveralVersions
		}
		a.Key, valid = ParseKey(keyText)
		return a, valid
	}
	text, isSole := strings.CutPrefix(entry, soleMark)
	earlierText, isEarlier := strings.CutPrefix(entry, earlierSoleMark)
	if isEarlier {
		text = earlierText
	}
	parts := strings.Split(text, "/")
	if !isSole && !isEarlier || len(parts) != 3 {
		return a, false
	}
	var validKey bool
	a.Key, validKey = ParseKey(parts[0])
	a.Origin, valid = parseOrigin(parts[1], parts[2])
	a.Kind = OneVersion
	if isEarlier {
		a.Kind, a.Origin = Unknown, Origin{}
	}
	return a, valid && validKey
}
