package trial

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"bergamotworks/chart"
)

// Page returns the content of an HTML page with the result.
func (r Result) Page() chart.Report {
	return chart.Report{
		Title:    r.Script + " on " + r.Deployment,
		Subtitle: fmt.Sprintf("policy %s, seed %d, %.1f requests/s offered, capacity %.1f", r.Policy, r.Seed, r.OfferedPerSecond, r.Capacity),
		Facts:    r.facts(),
		Lines:    []chart.LinePlot{r.attainmentPlot(), r.ratePlot()},
		Bars:     []chart.BarPlot{costPlot("Cost by stage", r.Stages), costPlot("Cost by account", r.AccountCosts)},
		Tables:   []chart.Table{countsTable("class", r.Classes), countsTable("account", r.Accounts), r.timeTable(), r.propertyTable()},
	}
}

func percent(share float64) string { return fmt.Sprintf("%.2f %%", 100*share) }

func (r Result) facts() []chart.Fact {
	total := Cost{}
	for _, v := range r.Stages {
		total.BusyMS += v.BusyMS
		total.WastedMS += v.WastedMS
	}
	violated := 0
	for _, v := range r.Properties {
		if !v.Pass {
			violated++
		}
	}
	return []chart.Fact{
		{Name: "attainment", Value: percent(r.Total.Attainment())},
		{Name: "attained per second", Value: fmt.Sprintf("%.1f", r.AttainedPerSecond)},
		{Name: "goodput, share of capacity", Value: percent(r.GoodputShare)},
		{Name: "wasted target time", Value: percent(total.WastedShare())},
		{Name: "time to first token, p95", Value: fmt.Sprintf("%.0f ms", r.FirstToken.P95)},
		{Name: "violated properties", Value: strconv.Itoa(violated), Bad: violated > 0},
	}
}

// plotMarks returns the executed events as marks on the time axis in seconds.
func (r Result) plotMarks() []chart.Mark {
	var marks []chart.Mark
	for _, m := range r.Marks {
		marks = append(marks, chart.Mark{X: milliseconds(m.AtMS).Seconds(), Label: m.Label})
	}
	return marks
}

func (r Result) attainmentPlot() chart.LinePlot {
	line := chart.Series{Name: "attained"}
	for _, s := range r.Seconds {
		if s.Requests > 0 {
			share := 100 * float64(s.Attained) / float64(s.Requests)
			line.Points = append(line.Points, chart.Point{X: float64(s.At), Y: share})
		}
	}
	return chart.LinePlot{
		Title: "Attainment over time", XLabel: "start of the request in s", YLabel: "% correct within deadline",
		Series: []chart.Series{line}, Marks: r.plotMarks(), YMax: 120,
	}
}

func (r Result) ratePlot() chart.LinePlot {
	offered, attained := chart.Series{Name: "offered"}, chart.Series{Name: "attained"}
	for _, s := range r.Seconds {
		at := float64(s.At)
		offered.Points = append(offered.Points, chart.Point{X: at, Y: float64(s.Requests)})
		attained.Points = append(attained.Points, chart.Point{X: at, Y: float64(s.Attained)})
	}
	return chart.LinePlot{
		Title: "Requests", XLabel: "start of the request in s", YLabel: "requests/s",
		Series: []chart.Series{offered, attained}, Marks: r.plotMarks(),
	}
}

func costPlot(title string, costs map[string]Cost) chart.BarPlot {
	useful, wasted := chart.Stack{Name: "useful"}, chart.Stack{Name: "wasted"}
	plot := chart.BarPlot{Title: title, ValueLabel: "target time in s"}
	for _, name := range slices.Sorted(maps.Keys(costs)) {
		c := costs[name]
		plot.Labels = append(plot.Labels, name)
		useful.Values = append(useful.Values, (c.BusyMS-c.WastedMS)/1000)
		wasted.Values = append(wasted.Values, c.WastedMS/1000)
	}
	if len(plot.Labels) > 0 {
		plot.Stacks = []chart.Stack{useful, wasted}
	}
	return plot
}

func countsTable(title string, counts map[string]Counts) chart.Table {
	table := chart.Table{
		Title:   "By " + title,
		Columns: []string{title, "requests", "attained", "late", "wrong", "not run", "may have run", "attainment"},
	}
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		v := counts[name]
		row := []string{name}
		for _, n := range []int{v.Requests, v.Attained, v.Late, v.Wrong, v.NotRun, v.MayHaveRun} {
			row = append(row, strconv.Itoa(n))
		}
		table.Rows = append(table.Rows, append(row, percent(v.Attainment())))
	}
	return table
}

func (r Result) timeTable() chart.Table {
	table := chart.Table{Title: "Times in ms", Columns: []string{"time", "count", "p50", "p95", "p99"}}
	for _, v := range r.timeRows() {
		t := v.times
		table.Rows = append(table.Rows, []string{
			v.name, strconv.FormatInt(t.Count, 10), fmt.Sprintf("%.1f", t.P50), fmt.Sprintf("%.1f", t.P95), fmt.Sprintf("%.1f", t.P99),
		})
	}
	return table
}

func (r Result) propertyTable() chart.Table {
	table := chart.Table{Title: "Properties", Columns: []string{"property", "count", "at most", "verdict"}}
	for _, v := range r.Properties {
		table.Rows = append(table.Rows, []string{v.Name, fmt.Sprintf("%.4g", v.Value), fmt.Sprintf("%g", v.Limit), v.passText()})
	}
	return table
}
