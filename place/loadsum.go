package place

import (
	"time"

	"bergamotworks/site"
)

// LoadSum is the sum of the recent loads that targets have reported.
type LoadSum struct {
	Load
	Reporting int // Targets with a recent report.
	Targets   int
}

// LoadSum returns the loads of those of the targets whose reports are recent. Targets in
// backoff count as not reporting, since they take nothing whatever they last reported.
func (t *Table) LoadSum(now time.Time, targets []site.Target) LoadSum {
	r := LoadSum{Targets: len(targets)}
	for _, target := range targets {
		state := t.targets[target.ID]
		if state == nil || state.incarnation != target.Incarnation || now.Sub(state.reportedAt) >= maxReportAge || now.Before(state.backoffUntil) {
			continue
		}
		r.Reporting++
		r.Running += state.reported.Running
		r.Waiting += state.reported.Waiting
		r.Slots += state.reported.Slots
	}
	return r
}
