package cmds

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"bergamotworks/admin"
	"bergamotworks/burn"
	"bergamotworks/chart"
)

const maxBars = 12 // Maximum number of client accounts or stages in a plot.

// burnPage returns the service-level report as a page.
func burnPage(report burn.Report, state admin.BurnState) chart.Report {
	page := chart.Report{
		Title:    "Service-level burn",
		Subtitle: fmt.Sprintf("%d nodes, %s to %s", report.Nodes, clockTime(report.Since), clockTime(report.At)),
		Facts:    burnFacts(report),
		Lines:    []chart.LinePlot{attainmentPlot(report, state)},
		Bars: []chart.BarPlot{
			costPlot("Cost by stage", report.Stages),
			costPlot("Cost by client account", report.Accounts),
		},
		Tables: []chart.Table{objectiveTable(report)},
	}
	if len(report.Drains) > 0 {
		page.Tables = append(page.Tables, drainTable(report))
	}
	return page
}

func clockTime(at time.Time) string { return at.UTC().Format(time.DateTime) }

func percent(share float64) string { return strconv.FormatFloat(100*share, 'f', 2, 64) + "%" }

func burnFacts(report burn.Report) []chart.Fact {
	var facts []chart.Fact
	for _, o := range report.Objectives {
		if o.Dimension != burn.Total || o.RequiredAttainment == 0 {
			continue
		}
		facts = append(facts, chart.Fact{Name: o.Objective, Value: percent(o.Attainment), Bad: o.Attainment < o.RequiredAttainment})
	}
	wasted := 0.0
	if report.Total.TargetSeconds > 0 {
		wasted = report.Total.WastedSeconds / report.Total.TargetSeconds
	}
	return append(facts, chart.Fact{Name: "wasted target time", Value: percent(wasted), Bad: wasted > maxWastedShare})
}

const maxWastedShare = 0.05 // Share of wasted target time above which it is shown as bad.

// attainmentPlot plots each objective over time and marks the configuration
// changes.
func attainmentPlot(report burn.Report, state admin.BurnState) chart.LinePlot {
	plot := chart.LinePlot{Title: "Attainment", XLabel: "seconds since the start", YLabel: "share of requests", YMin: 0, YMax: 1.02}
	for _, x := range state.Snapshot.Series {
		if x.Dimension != burn.Total {
			continue
		}
		line := chart.Series{Name: x.Objective}
		for _, b := range x.Buckets {
			share := float64(b.Good) / float64(max(1, b.Total))
			line.Points = append(line.Points, chart.Point{X: float64(b.At - report.Since.Unix()), Y: share})
		}
		plot.Series = append(plot.Series, line)
	}
	for _, c := range state.Changes {
		plot.Marks = append(plot.Marks, chart.Mark{X: c.At.Sub(report.Since).Seconds(), Label: changeLabel(c)})
	}
	return plot
}

func changeLabel(c burn.Change) string {
	label := "note " + strconv.FormatInt(c.Revision, 10)
	for _, name := range c.DrainedDomains {
		label += ", " + name + " out"
	}
	return label
}

func costPlot(title string, rows []burn.CostRow) chart.BarPlot {
	plot := chart.BarPlot{Title: title, ValueLabel: "target-seconds"}
	useful := chart.Stack{Name: "useful"}
	wasted := chart.Stack{Name: "wasted"}
	for _, r := range rows[:min(maxBars, len(rows))] {
		plot.Labels = append(plot.Labels, r.Name)
		useful.Values = append(useful.Values, r.TargetSeconds-r.WastedSeconds)
		wasted.Values = append(wasted.Values, r.WastedSeconds)
	}
	plot.Stacks = []chart.Stack{useful, wasted}
	return plot
}

func objectiveTable(report burn.Report) chart.Table {
	table := chart.Table{
		Title:   "Objectives",
		Columns: []string{"objective", "split", "target", "attained", "burn 5 min", "burn 1 h", "budget left", "requests"},
	}
	for _, o := range report.Objectives {
		split := "all"
		if o.Dimension != burn.Total {
			split = o.Dimension.String() + " " + o.Name
		}
		table.Rows = append(table.Rows, []string{
			o.Objective, split, percent(o.RequiredAttainment), percent(o.Attainment),
			strconv.FormatFloat(o.ShortBurn, 'f', 1, 64), strconv.FormatFloat(o.LongBurn, 'f', 1, 64),
			percent(o.BudgetLeft), strconv.FormatUint(o.Total, 10),
		})
	}
	return table
}

func drainTable(report burn.Report) chart.Table {
	table := chart.Table{
		Title:   "Drained failure domains",
		Columns: []string{"failure domain", "objective", "out", "back", "requests", "missed", "refused", "retried", "attainment back"},
	}
	for _, d := range report.Drains {
		back, recovered := "still out", "not yet"
		if !d.End.IsZero() {
			back = d.End.UTC().Format(time.TimeOnly)
		}
		if d.Recovery >= 0 {
			recovered = d.Recovery.Round(time.Second).String()
		}
		table.Rows = append(table.Rows, []string{
			d.Domain, d.Objective, d.Start.UTC().Format(time.TimeOnly), back, strconv.FormatUint(d.Total, 10),
			strconv.FormatUint(d.Total-d.Good, 10), strconv.FormatUint(d.Rejected, 10), strconv.FormatUint(d.Retried, 10), recovered,
		})
	}
	return table
}

// writePage writes a page to a file.
func writePage(path string, report chart.Report) error {
	var page bytes.Buffer
	if err := report.Write(&page); err != nil {
		return err
	}
	return trace.Wrap(os.WriteFile(path, page.Bytes(), pageMode))
}
