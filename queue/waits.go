package queue

import (
	"cmp"
	"slices"
	"time"
)

// Wait is the expected wait of a new call of a class and client account.
type Wait struct {
	Class   string        `json:"class"`
	Account string        `json:"account"`
	Wait    time.Duration `json:"wait_ns"`
}

// Waits returns up to count expected waits, longest first, if each call takes cost
// and concurrency calls run at once. It omits waits below shortest. An account
// without waiting entries is not listed; its wait is near zero. Waits returns nil
// if concurrency is not positive.
func (q *Queue) Waits(cost time.Duration, concurrency float64, shortest time.Duration, count int) []Wait {
	if concurrency <= 0 {
		return nil
	}
	var waits []Wait
	for _, c := range q.classes {
		rate := concurrency * q.expectedShare(c.name) / max(1, c.totalWeight())
		for _, a := range c.active {
			wait := time.Duration(float64(len(a.entries)+1) * float64(cost) / (rate * a.weight))
			if wait >= shortest {
				waits = append(waits, Wait{Class: c.name, Account: a.name, Wait: wait})
			}
		}
	}
	slices.SortStableFunc(waits, func(a, b Wait) int { return cmp.Compare(b.Wait, a.Wait) })
	return waits[:min(count, len(waits))]
}
