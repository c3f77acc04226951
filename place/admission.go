package place

import (
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"bergamotworks/fault"
	"bergamotworks/site"
)

const (
	// MaxWait bounds the time for which a target may ask to be left alone.
	MaxWait = 10 * time.Minute
	// rampStart is the number of calls that a target may get within rampStep after
	// such a time has ended. The number doubles with each further rampStep until
	// rampTime has passed.
	rampStart = 2
	rampStep  = 500 * time.Millisecond
	rampTime  = 5 * time.Second
	// leavingRetryAfter is the retry delay for clients if all targets leave. Those
	// that replace them register within that time.
	leavingRetryAfter = time.Second
	// unstatedLeavingTime is how long the last notice of a target that states no
	// incarnation counts: it may have started anew since then.
	unstatedLeavingTime = 30 * time.Second
	// unlistedRetention is how long the state of a target is kept after its entry
	// has disappeared from the directory, where it may come back after an outage of
	// the store.
	unlistedRetention = time.Minute
)

// Notice is what a target says of itself in a response, whatever the response is to.
type Notice struct {
	Leaving bool          // The target shuts down and wants no new calls.
	Wait    time.Duration // The target wants no calls for this time, at most MaxWait; zero if it does not say so.
}

// HoldReason says why a target gets no new calls from this node.
type HoldReason int

// The reasons to hold calls back from a target.
const (
	// NotHeld means that calls are allowed.
	NotHeld HoldReason = iota
	// WaitRequested means that the target has asked to be left alone for a time that
	// has not ended.
	WaitRequested
	// TargetLeaving means that the target has said that it leaves. It ends with the
	// next incarnation, or after unstatedLeavingTime if the target states none.
	TargetLeaving
	// RampUp means that the time of WaitRequested has ended and that the target has
	// got as many calls since then as it may get for now.
	RampUp
)

// Hold says whether, why and until when a target gets no new calls.
type Hold struct {
	Reason HoldReason
	Until  time.Time // Zero if the end is not known.
}

// Excludes reports whether the target has said that it leaves or asked to wait, so that
// work should not wait for it. It is false in the ramp-up, which lets some calls through
// each moment.
func (h Hold) Excludes() bool { return h.Reason == WaitRequested || h.Reason == TargetLeaving }

// retryAfter returns the time after which a client should retry.
func (h Hold) retryAfter(now time.Time) time.Duration {
	if h.Until.IsZero() {
		return leavingRetryAfter
	}
	return h.Until.Sub(now)
}

// HeldError is the error of a call that was not sent because its target is held.
type HeldError struct {
	Hold  Hold
	cause *fault.Error
}

func (e *HeldError) Error() string { return e.cause.Error() }

// Unwrap returns the *fault.Error of kind Busy, whose verdict is NotRun.
func (e *HeldError) Unwrap() error { return e.cause }

// IsHeld reports whether err is that of a call that was not sent because its target is
// held.
func IsHeld(err error) bool {
	var held *HeldError
	return errors.As(err, &held)
}

// Admission decides to which targets this node may send calls, by what the targets
// have said of themselves. All paths to targets share one, since a target counts the
// calls of all of them. The zero value is ready for use, and a nil Admission admits
// every call. It is safe for concurrent use.
type Admission struct {
	mutex   sync.Mutex
	targets map[string]*admissionState // By ID; only those that have given notice.
}

// admissionState is what a target has said of itself.
type admissionState struct {
	target        site.Target
	leaving       bool
	noticedAt     time.Time // Last notice.
	waitUntil     time.Time // Zero if the target has never asked to wait.
	rampCount     int       // Calls admitted since waitUntil.
	unlistedSince time.Time // Zero while the directory lists the target.
}

// TargetHold is the hold of one target.
type TargetHold struct {
	Target site.Target
	Hold   Hold
}

// Observe records a notice that a target has given in a response received at now. It
// reports whether that has changed why or until when the target is held.
func (a *Admission) Observe(now time.Time, target site.Target, n Notice) (Hold, bool) {
	if a == nil || !n.Leaving && n.Wait <= 0 {
		return Hold{}, false
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	state := a.find(target)
	if state == nil {
		state = a.add(target)
	}
	before := state.hold(now)
	state.noticedAt = now
	state.leaving = state.leaving || n.Leaving
	if until := now.Add(min(n.Wait, MaxWait)); n.Wait > 0 && until.After(state.waitUntil) {
		state.waitUntil, state.rampCount = until, 0
	}
	after := state.hold(now)
	return after, after != before
}

// add starts the state of a target. It returns a state that is not kept if the target
// is an incarnation that another one is known to have replaced.
func (a *Admission) add(target site.Target) *admissionState {
	state := &admissionState{target: target}
	if known := a.targets[target.ID]; known != nil && known.target.Incarnation > target.Incarnation {
		return state
	}
	if a.targets == nil {
		a.targets = make(map[string]*admissionState)
	}
	a.targets[target.ID] = state
	return state
}

// find returns the state of a target, or nil if it has given no notice.
//
// A process that starts anew under the same ID and address may give notice before the
// directory lists its incarnation. So a notice counts for a newer incarnation, too, if
// that one had started by the time of the notice.
func (a *Admission) find(target site.Target) *admissionState {
	state := a.targets[target.ID]
	if state == nil {
		return nil
	}
	moved := state.target.Address != target.Address
	if state.target.Incarnation == target.Incarnation && !moved {
		return state
	}
	if target.Incarnation < state.target.Incarnation {
		if moved {
			return nil
		}
		return state // Calls to the address reach the newer incarnation.
	}
	if moved || time.UnixMilli(target.Incarnation).After(state.noticedAt) {
		delete(a.targets, target.ID)
		return nil
	}
	state.target = target
	return state
}

// Hold returns whether a target is held at now.
func (a *Admission) Hold(now time.Time, target site.Target) Hold {
	if a == nil {
		return Hold{}
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if state := a.find(target); state != nil {
		return state.hold(now)
	}
	return Hold{}
}

// Admit is called immediately before a call is sent. It returns a *HeldError if the
// call must not be sent, and counts the call otherwise.
func (a *Admission) Admit(now time.Time, target site.Target) error {
	if a == nil {
		return nil
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	state := a.find(target)
	if state == nil {
		return nil
	}
	h := state.hold(now)
	if h.Reason != NotHeld {
		return &HeldError{Hold: h, cause: fault.New(fault.Busy, fault.NotRun, "target %s gets no calls: %s", target.ID, h.Reason).WithRetryAfter(h.retryAfter(now))}
	}
	state.rampCount++
	return nil
}

// Empty reports whether no notice of a target is kept, so that none can be held.
func (a *Admission) Empty() bool {
	if a == nil {
		return true
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return len(a.targets) == 0
}

// AllHeld reports whether all of the targets, at least one, have said that they leave
// or ask to wait. The time is the shortest after which one may accept calls again.
func (a *Admission) AllHeld(now time.Time, targets []site.Target) (time.Duration, bool) {
	if a == nil || len(targets) == 0 {
		return 0, false
	}
	var shortest time.Duration
	for _, t := range targets {
		h := a.Hold(now, t)
		if !h.Excludes() {
			return 0, false
		}
		if wait := h.retryAfter(now); shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest, true
}

// Holds returns the targets that are held at now, sorted by ID.
func (a *Admission) Holds(now time.Time) []TargetHold {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var list []TargetHold
	for _, state := range a.targets {
		if h := state.hold(now); h.Reason != NotHeld {
			list = append(list, TargetHold{Target: state.target, Hold: h})
		}
	}
	slices.SortFunc(list, func(a, b TargetHold) int { return strings.Compare(a.Target.ID, b.Target.ID) })
	return list
}

// Prune discards the state of targets that are held no more, or that have not been in
// the directory for unlistedRetention. It is called with each new directory.
func (a *Admission) Prune(now time.Time, d site.Directory) {
	if a == nil {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for id, state := range a.targets {
		_, listed := d.Find(id)
		switch {
		case listed:
			state.unlistedSince = time.Time{}
		case state.unlistedSince.IsZero():
			state.unlistedSince = now
		}
		expired := !listed && now.Sub(state.unlistedSince) >= unlistedRetention
		if expired || !state.leaves(now) && now.Sub(state.waitUntil) >= rampTime {
			delete(a.targets, id)
		}
	}
}

// leaves reports whether the notice that the target leaves counts at now.
func (s *admissionState) leaves(now time.Time) bool {
	return s.leaving && (s.target.Incarnation != 0 || now.Sub(s.noticedAt) < unstatedLeavingTime)
}

func (s *admissionState) hold(now time.Time) Hold {
	switch since := now.Sub(s.waitUntil); {
	case s.leaves(now):
		return Hold{Reason: TargetLeaving}
	case s.waitUntil.IsZero() || since >= rampTime:
		return Hold{}
	case since < 0:
		return Hold{Reason: WaitRequested, Until: s.waitUntil}
	default:
		step := since / rampStep
		if s.rampCount < rampStart<<step {
			return Hold{}
		}
		return Hold{Reason: RampUp, Until: s.waitUntil.Add((step + 1) * rampStep)}
	}
}
