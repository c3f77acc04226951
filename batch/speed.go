package batch

import (
	"math"
	"slices"
	"strings"
	"time"
)

// They are not those of place: calls of pieces have a configured time, requests an estimated
// one.
const (
	// speedGain is the gain of the learned slowdown, which is a mean of logarithms, and
	// maxSlowdown its bound. Calls of a slow target that end in time have recoveryGain,
	// since there are few of them.
	speedGain    = 0.3
	recoveryGain = 0.5
	maxSlowdown  = 16.0
	// slowThreshold is the slowdown, as a multiple of the median of the service, from
	// which on a target is slow.
	slowThreshold  = 2.0
	usualThreshold = 1.5 // Below it, a slow target counts as usual again.
	// A running call shows that its target is slow after overdueFactor times its expected
	// time plus overdueAllowance, which the network and busy VMs need.
	overdueFactor    = 2.0
	overdueAllowance = 50 * time.Millisecond
	// speedProbeInterval is the time from the end of the last call to a slow target to the
	// next one, of one piece, that it gets as a probe. Shorter: probes delay pieces.
	// Longer: a target that has recovered stays unused.
	speedProbeInterval = 2 * time.Second
)

// recordSpeed records how long a successful call took.
func (t *Table) recordSpeed(now time.Time, state *targetState, call *activeCall) {
	expected := t.callTime(len(call.pieces))
	if !t.LearnSpeeds || expected <= 0 {
		return
	}
	elapsed := now.Sub(call.started)
	ratio := float64(elapsed) / float64(expected)
	if ratio > 1 {
		ratio = max(1, float64(elapsed-overdueAllowance)/float64(expected))
	}
	sample := math.Log(min(max(ratio, 1/maxSlowdown), maxSlowdown))
	gain := speedGain
	if state.slowness >= math.Log(usualThreshold) && ratio < slowThreshold {
		gain = recoveryGain
	}
	state.slowness += gain * (sample - state.slowness)
	if elapsed > t.overdueAfter(call) {
		state.slowness = max(state.slowness, sample)
	}
}

// overdueAfter returns the time after which a call is overdue.
func (t *Table) overdueAfter(call *activeCall) time.Duration {
	return time.Duration(overdueFactor*float64(t.callTime(len(call.pieces)))) + overdueAllowance
}

// slowdown returns how much longer calls to a target take than the configuration says: as
// learned, or as a running call shows that is overdue.
func (t *Table) slowdown(now time.Time, state *targetState) float64 {
	if !t.LearnSpeeds {
		return 1
	}
	slowdown := math.Exp(state.slowness)
	for _, call := range state.running {
		if elapsed := now.Sub(call.started); elapsed > t.overdueAfter(call) {
			slowdown = max(slowdown, float64(elapsed-overdueAllowance)/float64(max(1, t.callTime(len(call.pieces)))))
		}
	}
	return min(slowdown, maxSlowdown)
}

// relativeSlowdowns returns the slowdowns of the usable targets as multiples of their
// median, nil if speeds are not learned. If most targets take longer, none is slow.
func (t *Table) relativeSlowdowns(now time.Time) map[*targetState]float64 {
	if !t.LearnSpeeds {
		return nil
	}
	relative := make(map[*targetState]float64)
	var all []float64
	for _, state := range t.targets {
		if state.usable() {
			relative[state] = t.slowdown(now, state)
			all = append(all, relative[state])
		}
	}
	if len(all) < 2 {
		return nil
	}
	slices.Sort(all)
	median := all[(len(all)-1)/2]
	for state := range relative {
		relative[state] /= median
	}
	return relative
}

// SpeedChange says that a target has become slow or is not any more.
type SpeedChange struct {
	Target   string // ID of the target.
	Slow     bool
	Slowdown float64 // Multiple of the expected time of calls.
	Relative float64 // Multiple of the median of the service.
}

// CheckSpeeds returns the targets that have become slow, or are not any more, since the
// last call. A slow one counts as usual only well below the threshold, so that there are
// few changes.
func (t *Table) CheckSpeeds(now time.Time) []SpeedChange {
	var changes []SpeedChange
	for state, relative := range t.relativeSlowdowns(now) {
		slow := relative >= slowThreshold || state.slow && relative >= usualThreshold
		if slow != state.slow {
			state.slow = slow
			changes = append(changes, SpeedChange{Target: state.target.ID, Slow: slow, Slowdown: t.slowdown(now, state), Relative: relative})
		}
	}
	slices.SortFunc(changes, func(a, b SpeedChange) int { return strings.Compare(a.Target, b.Target) })
	return changes
}

// callSize returns the most pieces of a call to a target. A slow one gets fewer pieces,
// and none if the others finish all the queued ones before it would finish one.
func (t *Table) callSize(now time.Time, state *targetState, relative map[*targetState]float64) int {
	size := max(t.Limits.Size, 1)
	slowdown := relative[state]
	if slowdown < slowThreshold {
		return size
	}
	others := 0.0
	for other, s := range relative {
		if s < slowThreshold && !now.Before(other.backoffUntil) {
			others += 1 / max(s, 1/slowThreshold)
		}
	}
	if others == 0 {
		return size
	}
	// In multiples of the time of a usual call: until the others have a free slot and have
	// worked off the queue, and the time of this target.
	wait := 1 + float64(t.Waiting())/(others*float64(max(t.Limits.Slots, 1)*size))
	if slowdown >= wait {
		return 0
	}
	return max(1, int(float64(size)/slowdown))
}

// probe returns a slow target that should get a piece so that its speed becomes known, and
// the piece, one of the least urgent work. The target is nil if there is none.
func (t *Table) probe(now time.Time, relative map[*targetState]float64) (*targetState, []*piece) {
	var due *targetState
	for state, slowdown := range relative {
		idle := len(state.running) == 0 && now.Sub(state.lastCallEnded) >= speedProbeInterval
		if slowdown >= slowThreshold && idle && t.available(now, state) && (due == nil || state.target.ID < due.target.ID) {
			due = state
		}
	}
	if due == nil {
		return nil, nil
	}
	queue := slices.Clone(t.queue)
	slices.Reverse(queue)
	if pieces := t.selectPieces(now, due, queue, 1); len(pieces) > 0 {
		return due, pieces
	}
	return nil, nil
}

// capacity returns the number of calls that the usable targets process in the time of
// one usual call.
func (t *Table) capacity(now time.Time) float64 {
	sum := 0.0
	for _, state := range t.targets {
		if state.usable() {
			sum += float64(max(t.Limits.Slots, 1)) / t.slowdown(now, state)
		}
	}
	return sum
}
