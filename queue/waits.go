package queue

import (
	"cmp"
	"slices"
	"time"
)

// Wait is the time that a new call of a class and client account would wait.
type Wait struct {
	Class   string        `json:"class"`
	Account string        `json:"account"`
	Wait    time.Duration `json:"wait_ns"`
}

// Waits returns the longest waits at present, at most count of them, if calls
// cost the given time and so many run together. Waits under shortest are left
// out; they are near zero for an account that is not named.
func (q *Queue) Waits(cost time.Duration, speed float64, shortest time.Duration, count int) []Wait {
	if speed <= 0 {
		return nil
	}
	var waits []Wait
	for _, c := range q.classes {
		rate := speed * q.part(c.name) / max(1, c.weights())
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
