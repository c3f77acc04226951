package trial

import (
	"time"

	"bergamotworks/emul"
)

// Cost is the time that targets were busy. The wasted part went into requests that
// failed and into runs beyond one for each stage.
type Cost struct {
	BusyMS   float64 `json:"busy_ms"`
	WastedMS float64 `json:"wasted_ms"`
	Tokens   int     `json:"tokens"`
}

// WastedShare returns the wasted share of the time, 0 to 1; it is 0 if there was
// no work.
func (c Cost) WastedShare() float64 {
	if c.BusyMS == 0 {
		return 0
	}
	return c.WastedMS / c.BusyMS
}

func (c Cost) plus(cost emul.Cost, wasted time.Duration) Cost {
	c.BusyMS += inMilliseconds(cost.Busy)
	c.WastedMS += inMilliseconds(wasted)
	c.Tokens += cost.Tokens
	return c
}

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// costTotals attributes the stand-ins' work to services and client accounts
// and counts the runs that should not have occurred.
type costTotals struct {
	services        map[string]Cost
	accounts        map[string]Cost
	expectedRuns    int // Runs that the attempts of the clients account for.
	extraRuns       int // Runs beyond those, which are internal retries.
	duplicateRuns   int // Runs of non-idempotent stages beyond one for each request and stage.
	falseNotRun     int // Requests that ran although every attempt failed with NotRun.
	falseLastNotRun int // Requests with a non-idempotent run whose last attempt failed with NotRun.
}

// newCostTotals adds up the costs of the records' requests. costs holds the work of
// each request by the request's name, with one entry for each service.
func newCostTotals(records []record, costs map[string][]emul.Cost) *costTotals {
	t := &costTotals{services: make(map[string]Cost), accounts: make(map[string]Cost)}
	for _, v := range records {
		spent := costs[v.request.name]
		if v.allNotRun() && hasRun(spent) {
			t.falseNotRun++
		}
		if v.lastNotRun() && hasRunNonIdempotent(spent) {
			t.falseLastNotRun++
		}
		for _, c := range spent {
			t.addWork(v, c)
		}
	}
	return t
}

func hasRun(costs []emul.Cost) bool {
	for _, c := range costs {
		if c.Runs > 0 {
			return true
		}
	}
	return false
}

// hasRunNonIdempotent reports whether a non-idempotent stage was started.
func hasRunNonIdempotent(costs []emul.Cost) bool {
	for _, c := range costs {
		if c.NonIdempotentRuns > 0 {
			return true
		}
	}
	return false
}

// addWork adds the work of one request at one service.
func (t *costTotals) addWork(r record, c emul.Cost) {
	expected := max(r.request.stages[c.Service], 1)
	clientRuns := expected * max(r.attempts, 1)
	t.expectedRuns += min(c.Runs, clientRuns)
	t.extraRuns += max(0, c.Runs-clientRuns)
	t.duplicateRuns += max(0, c.NonIdempotentRuns-r.request.nonIdempotentStages[c.Service])
	wasted := time.Duration(0)
	switch {
	case !r.succeeded:
		wasted = c.Busy
	case c.Runs > expected:
		wasted = c.Busy * time.Duration(c.Runs-expected) / time.Duration(c.Runs)
	}
	t.services[c.Service] = t.services[c.Service].plus(c, wasted)
	t.accounts[r.request.account] = t.accounts[r.request.account].plus(c, wasted)
}

// retryRatio returns the number of internal retries per expected run.
func (t *costTotals) retryRatio() float64 {
	if t.expectedRuns == 0 {
		return 0
	}
	return float64(t.extraRuns) / float64(t.expectedRuns)
}
