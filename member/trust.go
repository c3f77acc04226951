package member

import "time"

// trust is what the own VM may believe about itself. A VM that was paused, or
// whose probes nobody answers, may have been replaced in the meantime.
type trust struct {
	heard     time.Time // Last message of any VM.
	confirmed time.Time // Last time a VM confirmed the own incarnation.
	resumed   time.Time // End of the last pause; zero once it was confirmed.
	doubt     bool
	cutOff    bool
	epoch     uint64
	lost      int // VMs that died since the last confirmation.
}

func (s *trust) start(now time.Time) {
	s.heard = now
	s.confirmed = now
	s.doubt = true
}

// replaced notes that others may have taken over what this VM owns.
func (s *trust) replaced() { s.epoch++ }

// resume follows a pause: open probes and suspicions are as old as the pause
// and prove nothing.
func (t *Table) resume(gap time.Duration) {
	t.trust.resumed = t.now
	t.trust.confirmed = t.trust.confirmed.Add(gap)
	t.trust.heard = t.trust.heard.Add(gap)
	clear(t.probes.open)
	for _, e := range t.suspects {
		e.expires = e.expires.Add(gap)
	}
	t.review()
}

// confirm notes an answer to a probe that was sent at the given time.
func (t *Table) confirm(m message, sent time.Time) {
	if m.Confirmed != t.Self.Incarnation {
		return
	}
	t.trust.confirmed = t.now
	t.trust.lost = 0
	if !sent.Before(t.trust.resumed) {
		t.trust.resumed = time.Time{}
	}
	t.review()
}

// review decides whether the own VM must doubt its ownership and whether it is
// cut off.
func (t *Table) review() {
	doubt := t.unconfirmed()
	if doubt && !t.trust.doubt {
		t.trust.replaced()
	}
	silent := t.now.Sub(t.trust.heard) >= t.settings.IsolationTimeout
	cutOff := silent && !t.Self.Attributes.StoreReachable
	if doubt != t.trust.doubt || cutOff != t.trust.cutOff {
		t.views.stale = true
	}
	t.trust.doubt = doubt
	t.trust.cutOff = cutOff
}

// unconfirmed reports whether others may hold this VM dead. A VM that lost
// several others in one silence is more likely cut off from them than their
// only survivor, and stays in doubt until some VM answers.
func (t *Table) unconfirmed() bool {
	if !t.contacts.joined {
		return true
	}
	if len(t.probes.order) == 0 {
		return t.trust.lost > 1
	}
	if !t.trust.resumed.IsZero() {
		return true
	}
	return t.now.Sub(t.trust.confirmed) >= t.doubtTimeout()
}

// doubtTimeout is shorter than the time in which others declare this VM dead,
// counted from the last confirmation, even if one of them began to suspect it a
// period earlier.
func (t *Table) doubtTimeout() time.Duration {
	return t.settings.suspicionTimeout(t.fleet()) - t.settings.ProbeInterval
}

// seekConfirmation probes further VMs when the last probe went unanswered,
// first of all those that were heard since.
func (t *Table) seekConfirmation() {
	if t.now.Sub(t.trust.confirmed) < 3*t.settings.ProbeInterval/2 {
		return
	}
	count := t.settings.IndirectProbes
	asked := t.pick(count, func(e *entry) bool { return e.State.Live() && e.LastHeard.After(t.trust.confirmed) })
	if len(asked) == 0 {
		asked = t.pick(count, func(e *entry) bool { return e.State.Live() })
	}
	for _, e := range asked {
		t.probe(e)
	}
}
