package trial

import "bergamotworks/emul"

// Property is a condition that must hold during a run: a measured value that
// must not exceed a limit.
type Property struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Limit float64 `json:"limit"` // The largest value that passes.
	Pass  bool    `json:"pass"`
}

// Limits of the properties that tolerate some events.
const (
	maxPoisonCrashes      = 2   // Crashes of targets in a run.
	maxInternalRetryRatio = 0.1 // See Result.InternalRetries.
)

func newProperty(name string, value, limit float64) Property {
	return Property{Name: name, Value: value, Limit: limit, Pass: value <= limit}
}

// passText returns the text for tables.
func (p Property) passText() string {
	if p.Pass {
		return "pass"
	}
	return "FAIL"
}

// properties returns the properties of the run with their measured values. Their
// names are stored with the results. In them "departed" means drained, "in force"
// active, and "false not run" a request that ran although all its attempts reported
// NotRun. "Orders" are requests with a run of a non-idempotent stage, counted if
// their last attempt reported NotRun. "Internal retries per first attempt" are per
// expected run of a stage; see [Result].InternalRetries.
func (e *experiment) properties(records []record, totals *costTotals, targets emul.Snapshot) []Property {
	wrong := 0
	for _, v := range records {
		if v.wrong {
			wrong++
		}
	}
	list := []Property{
		newProperty("work beyond the cold limit", float64(targets.Total.BeyondColdLimit), 0),
		newProperty("work on a departed domain after 3 s", float64(targets.Total.AfterDrain), 0),
		newProperty("double runs of non-idempotent stages", float64(totals.duplicateRuns), 0),
		newProperty("attempts sent twice", float64(targets.Total.RepeatedAttempts), 0),
		newProperty("false not run", float64(totals.falseNotRun), 0),
		newProperty("orders that ran but were called not run at last", float64(totals.falseLastNotRun), 0),
		newProperty("wrong, incomplete or crossed answers", float64(wrong), 0),
		newProperty("crashes by overload", float64(targets.Total.OverloadCrashes), 0),
		newProperty("crashes by a poison request", float64(targets.Total.PoisonCrashes), maxPoisonCrashes),
		newProperty("internal retries per first attempt", totals.retryRatio(), maxInternalRetryRatio),
	}
	if len(e.events.conflicts) > 0 {
		list = append(list, newProperty("operator races without exactly one winner in force", e.failedConflicts(), 0))
	}
	return list
}

// failedConflicts returns the number of pairs of conflicting notes of which not
// exactly one was accepted and became active.
func (e *experiment) failedConflicts() float64 {
	failed := 0
	for _, v := range e.events.conflicts {
		if v.accepted != 1 || !v.active {
			failed++
		}
	}
	return float64(failed)
}
