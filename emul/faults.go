package emul

import "time"

// Kill ends the current incarnation at once: it resets all connections, and new
// ones are refused until Restart.
func (t *Target) Kill() { t.endIncarnation() }

// Restart ends the current incarnation, if any, and starts a new, cold one. It
// returns an error if the target cannot listen at its address.
func (t *Target) Restart() error {
	t.endIncarnation()
	return t.startIncarnation(false)
}

// MarkCold makes the target cold without a restart. Its load reports show only the
// lower limit and the cleared cache, so owners have to infer the rest from the
// behavior of the target.
func (t *Target) MarkCold() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.current != nil {
		t.current.engine.markCold(t.Clock.Now())
	}
}

// SetSlowdown sets the factor by which the time of all work is multiplied; 1 means
// normal speed.
func (t *Target) SetSlowdown(factor float64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.slowdown = factor
}

// SilenceConnections drops all further data on the connections that are open now,
// in both directions, without closing them. New connections work.
func (t *Target) SilenceConnections() {
	t.mutex.Lock()
	in := t.current
	t.mutex.Unlock()
	if in != nil {
		in.links.silence()
	}
}

// RejectCalls sets whether the target rejects every call with status 429 before it
// runs.
func (t *Target) RejectCalls(on bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.rejecting = on
}

// Poison makes each call whose body contains the text crash the target. An empty
// text disables the fault.
func (t *Target) Poison(text string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.poisonText = text
}

// MarkDrained records that the target, or its failure domain, is drained from now
// on; see [Counts.AfterDrain].
func (t *Target) MarkDrained() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.drainedAt = t.Clock.Now()
}

// ClearDrained records that the target is no longer drained.
func (t *Target) ClearDrained() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.drainedAt = time.Time{}
}

// Counts returns what the target has counted so far.
func (t *Target) Counts() Counts {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.counts
}

// crash ends the incarnation and starts another after the recovery time.
func (t *Target) crash(in *incarnation) {
	t.mutex.Lock()
	running := t.current == in
	t.mutex.Unlock()
	if !running {
		return
	}
	t.endIncarnation()
	t.group.Add(1)
	go t.runRecovery()
}

// runRecovery starts a new incarnation after the recovery time.
func (t *Target) runRecovery() {
	defer t.group.Done()
	recovery := t.Recovery
	if recovery == 0 {
		recovery = defaultRecovery
	}
	select {
	case <-t.context.Done():
		return
	case <-t.Clock.After(recovery):
	}
	t.mutex.Lock()
	down := t.current == nil
	t.mutex.Unlock()
	if down {
		_ = t.startIncarnation(false) // A target that cannot listen again stays down.
	}
}
