package route

import "time"

// waitMarginDivisor determines the margin that a forecast adds to a wait,
// wait/waitMarginDivisor. With the margin, a request that will miss its deadline is
// rejected before its first stage rather than at a later one.
const waitMarginDivisor = 4

// Workload identifies stage calls by service, class and client account.
type Workload struct {
	Service string
	Class   string
	Account string
}

// Forecast returns the expected time from now until a call finishes, including its
// wait, in the pool where that is shortest. It is zero if a pool that accepts calls
// has no recent summary or if there is no such pool, so that no call is rejected
// for lack of information.
func (c *Chooser) Forecast(now time.Time, workload Workload) time.Duration {
	shortest := time.Duration(-1)
	for _, p := range c.acceptingByService[workload.Service] {
		if total := p.forecast(now, workload); shortest < 0 || total < shortest {
			shortest = total
		}
	}
	return max(0, shortest)
}

func (p *poolState) forecast(now time.Time, workload Workload) time.Duration {
	if !p.fresh(now) {
		return 0
	}
	wait := decay(p.reportedWait(workload), now.Sub(p.summaryAt))
	return wait + wait/waitMarginDivisor + p.summary.MeanLatency
}

// reportedWait returns the wait for a workload in the last summary; zero if the
// summary does not list it.
func (p *poolState) reportedWait(workload Workload) time.Duration {
	for _, w := range p.summary.Waits {
		if w.Class == workload.Class && w.Account == workload.Account {
			return w.Wait
		}
	}
	return 0
}

// fullWaitAge is the age of a summary up to which its waits count in full.
const fullWaitAge = fullWeightAge / 2

// decay returns a reported wait reduced by the age of the report: linearly after
// fullWaitAge, to zero at fullWeightAge.
func decay(wait, age time.Duration) time.Duration {
	left := min(fullWeightAge-age, fullWeightAge-fullWaitAge)
	if left <= 0 {
		return 0
	}
	return time.Duration(float64(wait) * float64(left) / float64(fullWeightAge-fullWaitAge))
}
