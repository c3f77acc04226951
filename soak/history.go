package soak

import "time"

// history is when something that faults disturb was disturbed. The zero value is
// undisturbed.
type history []disturbance

// disturbance is a change between disturbed and undisturbed.
type disturbance struct {
	at        time.Time
	disturbed bool
}

// add records a change. Changes must be added in their order.
func (h *history) add(at time.Time, disturbed bool) {
	*h = append(*h, disturbance{at: at, disturbed: disturbed})
}

// calmUntil returns the end of the time after from without a disturbance, which is from
// itself if something is disturbed then.
func (h history) calmUntil(from, limit time.Time) time.Time {
	disturbed := false
	for _, c := range h {
		if !c.at.After(from) {
			disturbed = c.disturbed
			continue
		}
		if disturbed {
			return from
		}
		if c.at.Before(limit) {
			return c.at
		}
		return limit
	}
	if disturbed {
		return from
	}
	return limit
}
