package batch

import (
	"slices"
	"time"

	"bergamotworks/fault"
	"bergamotworks/site"
)

// updateHolds reads whether the targets are held and whether their versions get calls.
func (t *Table) updateHolds(now time.Time) {
	for _, state := range t.targets {
		state.hold = t.Admission.Hold(now, state.target)
	}
	t.updateExcluded(now)
}

// usable reports whether the target accepts new calls: it is listed, its version gets as many
// calls as others and it has neither said that it leaves nor asked to wait.
func (s *targetState) usable() bool { return s.listed && s.regular() && !s.hold.Excludes() }

// regular reports whether the target gets as many calls as others, whatever its version.
func (s *targetState) regular() bool { return !s.excluded && !s.canary }

// allHeld returns the shortest time after which one of the listed targets may accept
// calls again, if all of them, at least one, are held.
func (t *Table) allHeld(now time.Time) (time.Duration, bool) {
	if t.Admission.Empty() {
		return 0, false
	}
	var listed []site.Target
	for _, state := range t.targets {
		if state.listed && state.regular() {
			listed = append(listed, state.target)
		}
	}
	return t.Admission.AllHeld(now, listed)
}

// heldError returns the error of work that no target of the service accepts for some
// time.
func (t *Table) heldError(w Work, wait time.Duration) error {
	return fault.New(fault.Busy, fault.NotRun, "all targets of %s leave or have asked to wait", w.Service).WithRetryAfter(wait)
}

// failHeld fails the groups with waiting pieces if all targets are held.
func (t *Table) failHeld(now time.Time) {
	wait, all := t.allHeld(now)
	if !all {
		return
	}
	for _, g := range slices.Clone(t.queue) {
		if len(g.waiting) > 0 {
			t.fail(g, t.heldError(g.work, wait))
		}
	}
}
