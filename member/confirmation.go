package member

import "time"

// selfStatus is the local VM's assessment of its own membership. A VM that was
// paused, or whose probes are not acknowledged, may have been replaced in the
// meantime.
type selfStatus struct {
	lastReceived  time.Time // Last message received from any VM.
	lastConfirmed time.Time // Last time a VM confirmed the current incarnation of this VM.
	resumedAt     time.Time // End of the last pause; zero once confirmed afterwards.
	unconfirmed   bool
	isolated      bool
	epoch         uint64
	deaths        int // VMs declared dead since the last confirmation.
}

func (s *selfStatus) start(now time.Time) {
	s.lastReceived = now
	s.lastConfirmed = now
	s.unconfirmed = true
}

// startEpoch starts a new epoch, because others may have taken over the keys
// that this VM owns.
func (s *selfStatus) startEpoch() { s.epoch++ }

// resume handles a pause of the process of the given length. Timeouts that
// passed during the pause are no evidence of failures, so pending probes are
// discarded and suspicions extended.
func (t *Table) resume(pause time.Duration) {
	t.status.resumedAt = t.now
	t.status.lastConfirmed = t.status.lastConfirmed.Add(pause)
	t.status.lastReceived = t.status.lastReceived.Add(pause)
	clear(t.detector.inFlight)
	for _, e := range t.suspects {
		e.suspicionEnd = e.suspicionEnd.Add(pause)
	}
	t.updateStatus()
}

// confirm handles an ack of a probe that was sent at the given time.
func (t *Table) confirm(m message, sent time.Time) {
	if m.Confirmed != t.Self.Incarnation {
		return
	}
	t.status.lastConfirmed = t.now
	t.status.deaths = 0
	if !sent.Before(t.status.resumedAt) {
		t.status.resumedAt = time.Time{}
	}
	t.updateStatus()
}

// updateStatus determines whether the local VM is unconfirmed and whether it is
// isolated.
func (t *Table) updateStatus() {
	unconfirmed := t.isUnconfirmed()
	if unconfirmed && !t.status.unconfirmed {
		t.status.startEpoch()
	}
	silent := t.now.Sub(t.status.lastReceived) >= t.settings.IsolationTimeout
	isolated := silent && !t.Self.Attributes.StoreReachable
	if unconfirmed != t.status.unconfirmed || isolated != t.status.isolated {
		t.views.membersChanged = true
	}
	t.status.unconfirmed = unconfirmed
	t.status.isolated = isolated
}

// isUnconfirmed reports whether other VMs may consider this VM dead. A VM that
// loses several others without a confirmation in between is more likely
// partitioned from them than their only survivor, and remains unconfirmed until
// another VM responds.
func (t *Table) isUnconfirmed() bool {
	if !t.sync.joined {
		return true
	}
	if len(t.detector.round) == 0 {
		return t.status.deaths > 1
	}
	if !t.status.resumedAt.IsZero() {
		return true
	}
	return t.now.Sub(t.status.lastConfirmed) >= t.confirmationTimeout()
}

// confirmationTimeout returns how long a confirmation is valid. It is one probe
// interval shorter than the time after which others declare this VM dead,
// counted from the last confirmation, in case one of them began to suspect it
// an interval earlier.
func (t *Table) confirmationTimeout() time.Duration {
	return t.settings.suspicionTimeout(t.fleetSize()) - t.settings.ProbeInterval
}

// requestConfirmation probes additional VMs if the last probe was not
// acknowledged, preferring those that were heard from since the last
// confirmation.
func (t *Table) requestConfirmation() {
	if t.now.Sub(t.status.lastConfirmed) < 3*t.settings.ProbeInterval/2 {
		return
	}
	count := t.settings.IndirectProbes
	asked := t.randomEntries(count, func(e *entry) bool { return e.State.Live() && e.LastHeard.After(t.status.lastConfirmed) })
	if len(asked) == 0 {
		asked = t.randomEntries(count, func(e *entry) bool { return e.State.Live() })
	}
	for _, e := range asked {
		t.probe(e)
	}
}
