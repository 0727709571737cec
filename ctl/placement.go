package ctl

import (
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/sesameswitch/sesameswitch/decisionlog"
)

// Placement is the subcommand that shows which gateways sent requests to the backend servers
// of a data centre.
type Placement struct {
	DataCentre string   `required:"" placeholder:"NAME" help:"Name of the data centre."`
	Most       int      `default:"20" help:"Maximum number of late requests to list."`
	Log        []string `arg:"" type:"existingfile" help:"Files with log lines of one or more gateways; those of one gateway in order of time."`
}

// Run prints for each gateway how many requests it sent to servers of the data centre, when
// the last, and from when to when it knew that the data centre was evacuated; and why each
// request was sent that arrived during an evacuation. It returns a ProblemError if a gateway
// sent one although it knew of the evacuation.
func (p *Placement) Run(out *Output) error {
	sources := make([]decisionlog.Source, len(p.Log))
	for i, name := range p.Log {
		sources[i] = decisionlog.Source{Name: name, Open: func() (io.ReadCloser, error) { return os.Open(name) }}
	}
	placement, err := decisionlog.ReadPlacement(p.DataCentre, p.Most, sources)
	if err != nil {
		return err
	}
	if out.Format == FormatJSON {
		err = out.json(placement)
	} else {
		err = printPlacement(out, placement)
	}
	if err == nil && placement.KnownLate() > 0 {
		return &ProblemError{}
	}
	return err
}

// clockTime returns the time of day of a time, "-" if it is zero.
func clockTime(at time.Time) string {
	if at.IsZero() {
		return "-"
	}
	return at.UTC().Format("15:04:05.000")
}

// periods returns the begins and ends of evacuations.
func periods(evacuations []decisionlog.Evacuation) string {
	if len(evacuations) == 0 {
		return "-"
	}
	list := make([]string, len(evacuations))
	for i, e := range evacuations {
		list[i] = clockTime(e.From) + " to " + clockTime(e.Until)
	}
	return strings.Join(list, ", ")
}

func printPlacement(out *Output, p *decisionlog.Placement) error {
	out.printf("data centre %s, evacuated as the first gateway knew: %s\n", p.DataCentre, periods(p.Evacuations))
	rows := [][]string{{"GATEWAY", "REQUESTS", "LAST", "LATE", "KNEW OF THE EVACUATION"}}
	for _, g := range p.Gateways {
		rows = append(rows, []string{g.VM, fmt.Sprint(g.Requests), clockTime(g.LastAt), reasons(g.Late), periods(g.Known)})
	}
	if err := out.table(rows); err != nil {
		return err
	}
	out.printf("%d late requests\n", p.LateTotal)
	for _, late := range p.Late {
		out.printf("  %s %s %s to %s: %s\n", clockTime(late.At), late.VM, late.Request, late.Server, late.Reason)
	}
	if p.WithoutDataCentre > 0 {
		out.printf("%d attempts name no data centre\n", p.WithoutDataCentre)
	}
	return nil
}

// reasons returns the numbers of late requests by reason, "0" if there are none.
func reasons(late map[string]int) string {
	list := make([]string, 0, len(late))
	for reason, n := range late {
		list = append(list, fmt.Sprintf("%d %s", n, reason))
	}
	if len(list) == 0 {
		return "0"
	}
	sort.Strings(list)
	return strings.Join(list, ", ")
}
