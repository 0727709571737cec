package gateway

import (
	"cmp"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sesameswitch/sesameswitch/directory"
	"github.com/sesameswitch/sesameswitch/storeera"
)

const (
	// evacuationMark begins an entry of peerMessage.Known that reports an evacuation.
	evacuationMark = dataCentreMark + "evacuated="
	// maxEvacuationReportBytes limits the reports in a hello, so that it fits into a datagram
	// together with the addresses and the limits that it lists.
	maxEvacuationReportBytes = 200
)

// EvacuationReport is what a gateway has read about the evacuation of a data centre.
type EvacuationReport struct {
	directory.Evacuation
	// Era is the era of the store that Revision belongs to.
	Era storeera.Era
}

// EvacuationExchange provides and accepts reports about evacuated data centres: a gateway that
// cannot reach the store learns of them from the others, also of their end, after which the
// servers may be cold.
type EvacuationExchange interface {
	// EvacuationReports returns the evacuated data centres, and those whose evacuation has
	// ended recently.
	EvacuationReports() []EvacuationReport
	// ApplyEvacuationReport applies a report of another gateway.
	ApplyEvacuationReport(r EvacuationReport)
}

// EvacuationReports implements EvacuationExchange.
func (v *View) EvacuationReports() []EvacuationReport {
	evacuations := v.directory.Evacuations(time.Unix(0, int64(v.elapsed())))
	if len(evacuations) == 0 {
		return nil
	}
	v.eraMu.Lock()
	era := v.eras.Era()
	v.eraMu.Unlock()
	reports := make([]EvacuationReport, len(evacuations))
	for i, e := range evacuations {
		reports[i] = EvacuationReport{Evacuation: e, Era: era}
	}
	return reports
}

// ApplyEvacuationReport implements EvacuationExchange. Revisions of another era are not
// comparable: such a report is ignored.
func (v *View) ApplyEvacuationReport(r EvacuationReport) {
	v.eraMu.Lock()
	present := v.isPresent(r.Era)
	v.eraMu.Unlock()
	if !present {
		return
	}
	v.reportEvacuations(v.directory.ApplyEvacuations(time.Unix(0, int64(v.elapsed())), []directory.Evacuation{r.Evacuation}), logrus.Fields{"source": "peer"})
}

// evacuationEntries returns the entries of Known with the reports of this gateway.
func (p *Peers) evacuationEntries() []string {
	if p.Evacuations == nil {
		return nil
	}
	var entries []string
	size := 0
	for _, r := range p.Evacuations.EvacuationReports() {
		entry := evacuationEntry(r)
		if size += len(entry) + 1; size > maxEvacuationReportBytes {
			break
		}
		entries = append(entries, entry)
	}
	return entries
}

// evacuationEntry encodes a report as "ERA/REVISION/AGE/NAME". ERA is "-" if the store states
// none, AGE the milliseconds since the evacuation has ended, or "-" while it goes on.
func evacuationEntry(r EvacuationReport) string {
	era, age := "-", "-"
	if r.Era.Stated {
		era = strconv.FormatUint(r.Era.Number, 10)
	}
	if r.Ended {
		age = strconv.FormatInt(r.Age.Milliseconds(), 10)
	}
	return evacuationMark + era + "/" + strconv.FormatUint(r.Revision, 10) + "/" + age + "/" + r.DataCentre
}

// applyEvacuationEntries applies the reports in a message.
func (p *Peers) applyEvacuationEntries(message peerMessage) {
	if p.Evacuations == nil {
		return
	}
	for _, entry := range message.Known {
		if text, isReport := strings.CutPrefix(entry, evacuationMark); isReport {
			if r, valid := parseEvacuationReport(text); valid {
				p.Evacuations.ApplyEvacuationReport(r)
			}
		}
	}
}

// parseEvacuationReport parses what evacuationEntry has encoded after the mark.
func parseEvacuationReport(text string) (EvacuationReport, bool) {
	parts := strings.SplitN(text, "/", 4)
	if len(parts) < 4 || parts[3] == "" {
		return EvacuationReport{}, false
	}
	r := EvacuationReport{Evacuation: directory.Evacuation{DataCentre: parts[3], Ended: parts[2] != "-"}}
	var eraErr, ageErr error
	if parts[0] != "-" {
		r.Era.Stated = true
		r.Era.Number, eraErr = strconv.ParseUint(parts[0], 10, 64)
	}
	revision, revisionErr := strconv.ParseUint(parts[1], 10, 64)
	if r.Ended {
		var ms uint64
		ms, ageErr = strconv.ParseUint(parts[2], 10, 31)
		r.Age = time.Duration(ms) * time.Millisecond //nolint:gosec // at most 31 bits
	}
	r.Revision = revision
	return r, cmp.Or(eraErr, revisionErr, ageErr) == nil
}
