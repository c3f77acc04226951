package trial

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// Print writes the result as aligned plain text.
func (r Result) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	p := printer{table: t}
	p.header(r)
	p.counts("class", r.Classes)
	p.counts("account", r.Accounts)
	p.times(r)
	p.costs("stage", r.Stages)
	p.costs("account", r.AccountCosts)
	p.properties(r)
	if p.err != nil {
		return p.err
	}
	return t.Flush()
}

// printer writes tables and records the first error.
type printer struct {
	table *tabwriter.Writer
	err   error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.table, format+"\n", args...)
	}
}

// text writes a line that does not take part in the alignment of columns.
func (p *printer) text(format string, args ...any) {
	if p.err == nil {
		p.err = p.table.Flush()
	}
	p.line(format, args...)
	if p.err == nil {
		p.err = p.table.Flush()
	}
}

func (p *printer) header(r Result) {
	p.text("%s on %s, policy %s, seed %d", r.Script, r.Deployment, r.Policy, r.Seed)
	p.text("capacity %.1f/s, offered %.1f/s, attained %.1f/s over %.1f s; goodput %.1f%% of the capacity of %s",
		r.Capacity, r.OfferedPerSecond, r.AttainedPerSecond, milliseconds(r.DurationMS).Seconds(), 100*r.GoodputShare, r.Bottleneck)
	p.text("retries per first attempt: %.2f by clients, %.3f internal", r.ClientRetries, r.InternalRetries)
	if c := r.CostComparison; c != nil {
		p.text("cost reported by the system: %.1f target-seconds, %d tokens; measured by the stand-ins: %.1f, %d",
			c.TargetSeconds, c.Tokens, c.StandInSeconds, c.StandInTokens)
	}
	if r.NotOffered > 0 {
		p.text("NOT OFFERED: %d requests, too many clients had a request in flight", r.NotOffered)
	}
	for _, v := range r.Errors {
		p.text("EVENT FAILED: %s", v)
	}
}

func (p *printer) counts(title string, counts map[string]Counts) {
	p.text("")
	p.line("%s\trequests\tattained\tlate\twrong\tnot run\tmay have run\tattainment\t", title)
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		v := counts[name]
		p.line("%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f%%\t",
			name, v.Requests, v.Attained, v.Late, v.Wrong, v.NotRun, v.MayHaveRun, 100*v.Attainment())
	}
}

func (p *printer) times(r Result) {
	p.text("")
	p.line("time\tcount\tp50 ms\tp95 ms\tp99 ms\t")
	for _, v := range r.timeRows() {
		p.line("%s\t%d\t%.1f\t%.1f\t%.1f\t", v.name, v.times.Count, v.times.P50, v.times.P95, v.times.P99)
	}
}

// timeRow is a row of the table of times.
type timeRow struct {
	name  string
	times Percentiles
}

func (r Result) timeRows() []timeRow {
	return []timeRow{
		{"complete response", r.Latency}, {"first token", r.FirstToken}, {"between tokens", r.BetweenTokens},
	}
}

func (p *printer) costs(title string, costs map[string]Cost) {
	p.text("")
	p.line("cost by %s\tbusy s\twasted s\twasted\ttokens\t", title)
	for _, name := range slices.Sorted(maps.Keys(costs)) {
		v := costs[name]
		p.line("%s\t%.1f\t%.1f\t%.2f%%\t%d\t", name, v.BusyMS/1000, v.WastedMS/1000, 100*v.WastedShare(), v.Tokens)
	}
}

func (p *printer) properties(r Result) {
	p.text("")
	for _, name := range slices.Sorted(maps.Keys(r.Failures)) {
		p.text("failed requests: %d %s", r.Failures[name], name)
	}
	for _, v := range r.Properties {
		p.text("%s  %s: %.4g (at most %g)", v.passText(), v.Name, v.Value, v.Limit)
	}
}
