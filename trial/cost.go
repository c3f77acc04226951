package trial

import (
	"time"

	"bergamotworks/emul"
)

// Cost is the time that targets spent, and the part of it that went into
// requests without an answer or into runs beyond the first one.
type Cost struct {
	BusyMS   float64 `json:"busy_ms"`
	WastedMS float64 `json:"wasted_ms"`
	Tokens   int     `json:"tokens"`
}

// WastedShare returns the wasted part, zero if there was no work.
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

// accounting charges the stand-ins' work to services and accounts.
type accounting struct {
	services map[string]Cost
	accounts map[string]Cost
	works    int // Pairs of a request and a stage that ran.
	repeats  int // Runs beyond those that the caller's attempts explain.
	doubles  int // Non-idempotent runs beyond the expected ones.
	falsely  int // Requests that ran although every attempt was refused with "not run".
	denied   int // Orders that ran although the last attempt was refused with "not run".
}

func newAccounting(records []record, costs map[string][]emul.Cost) *accounting {
	a := &accounting{services: make(map[string]Cost), accounts: make(map[string]Cost)}
	for _, v := range records {
		spent := costs[v.planned.name]
		if v.onlyRefused() && ran(spent) {
			a.falsely++
		}
		if v.deniedLast() && ranOnce(spent) {
			a.denied++
		}
		for _, c := range spent {
			a.charge(v, c)
		}
	}
	return a
}

func ran(costs []emul.Cost) bool {
	for _, c := range costs {
		if c.Runs > 0 {
			return true
		}
	}
	return false
}

// ranOnce reports whether a non-idempotent stage began.
func ranOnce(costs []emul.Cost) bool {
	for _, c := range costs {
		if c.NonIdempotentRuns > 0 {
			return true
		}
	}
	return false
}

// charge charges the work of one request at one service.
func (a *accounting) charge(r record, c emul.Cost) {
	expected := max(r.planned.visits[c.Service], 1)
	asked := expected * max(r.attempts, 1)
	a.works += min(c.Runs, asked)
	a.repeats += max(0, c.Runs-asked)
	a.doubles += max(0, c.NonIdempotentRuns-r.planned.onceVisits[c.Service])
	wasted := time.Duration(0)
	switch {
	case !r.answered:
		wasted = c.Busy
	case c.Runs > expected:
		wasted = c.Busy * time.Duration(c.Runs-expected) / time.Duration(c.Runs)
	}
	a.services[c.Service] = a.services[c.Service].plus(c, wasted)
	a.accounts[r.planned.account] = a.accounts[r.planned.account].plus(c, wasted)
}

// retryShare returns the runs that only internal retries explain, per run.
func (a *accounting) retryShare() float64 {
	if a.works == 0 {
		return 0
	}
	return float64(a.repeats) / float64(a.works)
}
