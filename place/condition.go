package place

import (
	"cmp"
	"slices"
	"time"
)

// Condition is why a target gets fewer calls than others, or none.
type Condition int

// Conditions of a target.
const (
	// Slow means that first events come later than expected. The target gets fewer calls,
	// according to its speed.
	Slow Condition = iota
	// Failing means that calls fail or do not reach the target. It gets a probe now and
	// then.
	Failing
	// Full means that the target has no slot for another call. It gets none until it has.
	Full
)

// ConditionChange says that a target has got into a condition or out of it.
type ConditionChange struct {
	Target    string // ID of the target.
	Service   string
	Condition Condition
	Entered   bool
	Load      Load // As last reported.
	ReportAge time.Duration
	Slowdown  float64 // As learned.
	Failures  float64 // Failure rate.
}

// CheckConditions returns the conditions that have changed since the last call, for
// targets that are chosen by the expected time.
func (t *Table) CheckConditions(now time.Time) []ConditionChange {
	var changes []ConditionChange
	for id, state := range t.targets {
		if state.estimatedFor == "" {
			continue
		}
		for _, c := range ConditionValues() {
			if is := state.has(now, c); is != state.conditions[c] {
				state.conditions[c] = is
				changes = append(changes, ConditionChange{
					Target: id, Service: state.estimatedFor, Condition: c, Entered: is, Load: state.reported, ReportAge: now.Sub(state.reportedAt),
					Slowdown: state.ownSlowdown(), Failures: state.failureRate.value,
				})
			}
		}
	}
	slices.SortFunc(changes, func(a, b ConditionChange) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Condition, b.Condition))
	})
	return changes
}

// has reports whether a target is in a condition.
func (s *targetState) has(now time.Time, c Condition) bool {
	switch c {
	case Slow:
		return s.slow
	case Failing:
		return s.unreachableCount > 0 || s.failureRate.value >= maxFailureExcess
	case Full:
		recent := now.Sub(s.reportedAt) < maxReportAge
		return recent && s.reported.Slots > 0 && s.reported.Running >= s.reported.Slots
	}
	return false
}

// CountCondition returns the number of targets that were in a condition at the last call
// of CheckConditions.
func (t *Table) CountCondition(c Condition) int {
	n := 0
	for _, state := range t.targets {
		if state.conditions[c] {
			n++
		}
	}
	return n
}
