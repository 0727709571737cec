package gateway

import (
	"cmp"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/sesameswitch/sesameswitch/limit"
	"github.com/sesameswitch/sesameswitch/retry"
)

const (
	// limitMark begins an entry of peerMessage.Known that reports the limit of a server.
	limitMark = dataCentreMark + "limit="
	// maxLimitReportBytes limits the reports in a hello, so that it fits into a datagram
	// together with the addresses that it lists.
	maxLimitReportBytes = 320
)

// LimitExchange provides and accepts reports about the limits of backend servers.
type LimitExchange interface {
	// LimitReports returns what this gateway has recently learnt, the newest first.
	LimitReports(now time.Time) []limit.Report
	// ApplyLimitReport applies a report of another gateway.
	ApplyLimitReport(now time.Time, from string, r limit.Report)
}

// limitEntries returns the entries of Known with the reports of this gateway, as many of
// the newest as maxLimitReportBytes holds.
func (p *Peers) limitEntries(now time.Time) []string {
	if p.Limits == nil {
		return nil
	}
	var entries []string
	size := 0
	for _, r := range p.Limits.LimitReports(now) {
		entry := limitMark + strconv.FormatFloat(r.Rate, 'g', -1, 64) + "/" + strconv.FormatInt(r.Age.Milliseconds(), 10) + "/" + strconv.FormatInt(r.Server.StartedAtMs, 10) + "/" + r.Server.ID
		if size += len(entry) + 1; size > maxLimitReportBytes {
			break
		}
		entries = append(entries, entry)
	}
	return entries
}

// applyLimitEntries applies the reports in a message.
func (p *Peers) applyLimitEntries(now time.Time, message peerMessage) {
	if p.Limits == nil {
		return
	}
	for _, entry := range message.Known {
		if text, isReport := strings.CutPrefix(entry, limitMark); isReport {
			if r, valid := parseLimitReport(text); valid {
				p.Limits.ApplyLimitReport(now, message.From, r)
			}
		}
	}
}

// parseLimitReport parses "RATE/AGE/STARTED/ID", with times in milliseconds.
func parseLimitReport(text string) (limit.Report, bool) {
	parts := strings.SplitN(text, "/", 4)
	if len(parts) < 4 || parts[3] == "" {
		return limit.Report{}, false
	}
	rate, rateErr := strconv.ParseFloat(parts[0], 64)
	age, ageErr := strconv.ParseInt(parts[1], 10, 32)
	startedAtMs, startErr := strconv.ParseInt(parts[2], 10, 64)
	if cmp.Or(rateErr, ageErr, startErr) != nil || math.IsInf(rate, 0) || math.IsNaN(rate) {
		return limit.Report{}, false
	}
	return limit.Report{Server: retry.Incarnation{ID: parts[3], StartedAtMs: startedAtMs}, Rate: rate, Age: time.Duration(age) * time.Millisecond}, true
}
