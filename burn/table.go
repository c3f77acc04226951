package burn

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
)

// maxAccountRows limits the client accounts in the table.
const maxAccountRows = 20

// WriteTable writes the report as aligned plain text. Of the client accounts it
// lists at most 20, those with the most target time.
func (r Report) WriteTable(w io.Writer) error {
	t := &table{Writer: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	t.line("%d nodes, %s to %s\n", r.Nodes, r.Since.UTC().Format(time.DateTime), r.At.UTC().Format(time.DateTime))
	t.line("OBJECTIVE\tSPLIT\tTARGET\tATTAINED\tBURN 5M\tBURN 1H\tBUDGET LEFT\tREQUESTS\tREFUSED\tMAY HAVE RUN\tP50\tP99\tTTFT P95")
	for _, o := range r.Objectives {
		t.objective(o)
	}
	t.drains(r.Drains)
	t.line("\nSTAGE\tCALLS\tTARGET S\tTOKENS\tWASTED S\tWASTED")
	t.costs(r.Stages)
	t.line("\nACCOUNT\tCALLS\tTARGET S\tTOKENS\tWASTED S\tWASTED")
	t.costs(r.Accounts[:min(maxAccountRows, len(r.Accounts))])
	t.line("")
	t.costs(costRows([]CostRecord{{Cost: r.Total}}, func(CostKey) string { return "total" }))
	if t.err != nil {
		return trace.Wrap(t.err)
	}
	return trace.Wrap(t.Flush())
}

// table writes lines of aligned columns and keeps the first error.
type table struct {
	*tabwriter.Writer
	err error
}

func (t *table) line(format string, args ...any) {
	if t.err == nil {
		_, t.err = fmt.Fprintf(t, format+"\n", args...)
	}
}

func (t *table) objective(o ObjectiveRow) {
	split := "all"
	if o.Dimension != Total {
		split = o.Dimension.String() + " " + o.Name
	}
	required, short, long, left := "-", "-", "-", "-"
	if o.RequiredAttainment > 0 {
		required, left = percent(o.RequiredAttainment), percent(o.BudgetLeft)
		short, long = fmt.Sprintf("%.1f", o.ShortBurn), fmt.Sprintf("%.1f", o.LongBurn)
	}
	t.line("%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\t%s\t%s", o.Objective, split, required, percent(o.Attainment),
		short, long, left, o.Total, o.Rejected, o.MayHaveRun,
		milliseconds(o.LatencyP50MS), milliseconds(o.LatencyP99MS), milliseconds(o.FirstTokenP95MS))
}

func (t *table) drains(list []Drain) {
	if len(list) == 0 {
		return
	}
	t.line("\nDRAINED DOMAIN\tOBJECTIVE\tSTART\tEND\tREQUESTS\tMISSED\tREFUSED\tRETRIED\tATTAINMENT RECOVERED")
	for _, d := range list {
		end, recovered := "-", "not yet"
		if !d.End.IsZero() {
			end = d.End.UTC().Format(time.TimeOnly)
		}
		if d.Recovery >= 0 {
			recovered = "after " + d.Recovery.Round(time.Second).String()
		}
		t.line("%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s", d.Domain, d.Objective, d.Start.UTC().Format(time.TimeOnly), end,
			d.Total, d.Total-d.Good, d.Rejected, d.Retried, recovered)
	}
}

func (t *table) costs(rows []CostRow) {
	for _, c := range rows {
		t.line("%s\t%d\t%.1f\t%d\t%.1f\t%s", c.Name, c.Calls, c.TargetSeconds, c.Tokens, c.WastedSeconds, percent(c.WastedShare))
	}
}

func percent(share float64) string {
	text := fmt.Sprintf("%.2f%%", 100*share)
	if text == "-0.00%" {
		return text[1:]
	}
	return text
}

func milliseconds(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return fmt.Sprintf("%d ms", ms)
}
