package burn

import (
	"cmp"
	"slices"
	"time"

	"bergamotworks/note"
)

// Report summarizes objectives and costs for operators. It marshals to JSON.
type Report struct {
	At         time.Time      `json:"at"`
	Since      time.Time      `json:"since"`
	Nodes      int            `json:"nodes"`
	Objectives []ObjectiveRow `json:"objectives"`
	Stages     []CostRow      `json:"stages"`
	Accounts   []CostRow      `json:"accounts"`
	Total      Cost           `json:"total"`
	Drains     []Drain        `json:"departures,omitempty"` // Not set by NewReport; see [Drains].
}

// ObjectiveRow is the state of an objective, as a whole or for one failure
// domain or client account.
type ObjectiveRow struct {
	Key
	RequiredAttainment float64 `json:"target"`      // Zero if there is no objective.
	Attainment         float64 `json:"attainment"`  // Share of good requests, 0 to 1.
	ShortBurn          float64 `json:"short_burn"`  // Burn rate of the last 5 minutes; 1 consumes the error budget exactly.
	LongBurn           float64 `json:"long_burn"`   // Burn rate of the last hour.
	BudgetLeft         float64 `json:"budget_left"` // Share of the error budget left, counted over all requests since the start; negative once exceeded.
	Counts
	LatencyP50MS    int64 `json:"latency_p50_ms,omitempty"`
	LatencyP99MS    int64 `json:"latency_p99_ms,omitempty"`
	FirstTokenP95MS int64 `json:"first_token_p95_ms,omitempty"`
}

// CostRow is the cost of one stage of a pipeline, or of one client account.
type CostRow struct {
	Name        string  `json:"name"`
	WastedShare float64 `json:"wasted_share"` // Wasted part of TargetSeconds, 0 to 1.
	Cost
}

// NewReport computes the report of a snapshot for the objectives of the
// configuration. It leaves Drains empty, since a snapshot does not contain the
// changes of the configuration. It returns an error if a histogram cannot be
// decoded.
func NewReport(s Snapshot, config note.Config) (Report, error) {
	r := Report{At: s.At, Since: s.Since, Nodes: s.Nodes}
	for _, record := range s.Series {
		row, err := newObjectiveRow(record, config.Sections.Objectives[record.Objective])
		if err != nil {
			return Report{}, err
		}
		r.Objectives = append(r.Objectives, row)
	}
	for _, c := range s.Costs {
		r.Total = r.Total.plus(c.Cost)
	}
	r.Stages = costRows(s.Costs, func(k CostKey) string { return k.Pipeline + "/" + k.Stage + " on " + k.Service })
	r.Accounts = costRows(s.Costs, func(k CostKey) string { return k.Account })
	return r, nil
}

func newObjectiveRow(s Series, o note.Objective) (ObjectiveRow, error) {
	row := ObjectiveRow{Key: s.Key, RequiredAttainment: o.Attainment, Counts: s.All}
	row.Attainment = s.All.attainment()
	if o.Attainment > 0 {
		row.ShortBurn = s.Short.burn(o.Attainment)
		row.LongBurn = s.Long.burn(o.Attainment)
		row.BudgetLeft = 1 - s.All.burn(o.Attainment)
	}
	latency, err := decode(s.Latency)
	if err != nil {
		return ObjectiveRow{}, err
	}
	firstToken, err := decode(s.FirstToken)
	if err != nil {
		return ObjectiveRow{}, err
	}
	row.LatencyP50MS = latency.ValueAtPercentile(50)
	row.LatencyP99MS = latency.ValueAtPercentile(99)
	row.FirstTokenP95MS = firstToken.ValueAtPercentile(95)
	return row, nil
}

// attainment returns the share of good requests, 1 if there were none.
func (c Counts) attainment() float64 {
	if c.Total == 0 {
		return 1
	}
	return float64(c.Good) / float64(c.Total)
}

// burn returns the burn rate: the share of requests that were not good, divided
// by the share that the objective allows. The required attainment must be below 1.
func (c Counts) burn(required float64) float64 {
	return (1 - c.attainment()) / (1 - required)
}

// costRows sums the costs by name and sorts the sums by descending target time.
func costRows(costs []CostRecord, name func(CostKey) string) []CostRow {
	sums := map[string]Cost{}
	for _, c := range costs {
		sums[name(c.CostKey)] = sums[name(c.CostKey)].plus(c.Cost)
	}
	rows := make([]CostRow, 0, len(sums))
	for n, c := range sums {
		row := CostRow{Name: n, Cost: c}
		if c.TargetSeconds > 0 {
			row.WastedShare = c.WastedSeconds / c.TargetSeconds
		}
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b CostRow) int {
		return cmp.Or(cmp.Compare(b.TargetSeconds, a.TargetSeconds), cmp.Compare(a.Name, b.Name))
	})
	return rows
}
