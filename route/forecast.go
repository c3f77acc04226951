package route

import "time"

// waitMargin is the part of a wait by which a forecast exceeds it, so that calls
// that grow late are refused before the first stage and not at a later one.
const waitMargin = 4

// Workload describes stage calls whose time is forecast.
type Workload struct {
	Service string
	Class   string
	Account string
}

// Forecast returns the time that a call would take from now on, waiting
// included, in the pool where it would end first. It is zero if some pool is not
// known, so that nothing is refused for want of news.
func (c *Chooser) Forecast(now time.Time, work Workload) time.Duration {
	least := time.Duration(-1)
	for _, e := range c.open[work.Service] {
		if took := e.forecast(now, work); least < 0 || took < least {
			least = took
		}
	}
	return max(0, least)
}

func (e *entry) forecast(now time.Time, work Workload) time.Duration {
	if !e.known(now) {
		return 0
	}
	wait := fade(e.waitOf(work), now.Sub(e.seen))
	return wait + wait/waitMargin + e.summary.MeanLatency
}

// waitOf returns the wait that the last summary gives for some work.
func (e *entry) waitOf(work Workload) time.Duration {
	for _, w := range e.summary.Waits {
		if w.Class == work.Class && w.Account == work.Account {
			return w.Wait
		}
	}
	return 0
}

// fullFor is the age up to which a wait counts in full.
const fullFor = freshFor / 2

// fade returns what is left of a wait some time after it was told.
func fade(wait, age time.Duration) time.Duration {
	left := min(freshFor-age, freshFor-fullFor)
	if left <= 0 {
		return 0
	}
	return time.Duration(float64(wait) * float64(left) / float64(freshFor-fullFor))
}
