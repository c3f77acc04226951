package emul

import "time"

// Kill ends the present life at once: connections are reset, and new ones
// refused until Restart.
func (t *Target) Kill() { t.end() }

// Restart begins a new, cold life. A present life ends first.
func (t *Target) Restart() error {
	t.end()
	return t.begin(false)
}

// TurnCold makes the target cold without any sign but its behaviour.
func (t *Target) TurnCold() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.life != nil {
		t.life.batch.turnCold(t.Clock.Now())
	}
}

// Slow makes all work take longer by a factor; 1 is the usual speed.
func (t *Target) Slow(factor float64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.slow = factor
}

// SilenceConnections makes all open connections silent for good. New ones work.
func (t *Target) SilenceConnections() {
	t.mutex.Lock()
	l := t.life
	t.mutex.Unlock()
	if l != nil {
		l.links.silence()
	}
}

// Refuse makes the target answer every call with 429 before it runs, or stop
// doing so.
func (t *Target) Refuse(on bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.refuse = on
}

// Poison makes a call whose body holds the text crash the target. An empty
// text ends the fault.
func (t *Target) Poison(text string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.poison = text
}

// MarkDrained tells the target that it, or its failure domain, was taken out.
func (t *Target) MarkDrained() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.departed = t.Clock.Now()
}

// ClearDrained ends a departure.
func (t *Target) ClearDrained() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.departed = time.Time{}
}

// Counts returns what the target has counted so far.
func (t *Target) Counts() Counts {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.counts
}

// crash ends the life and begins another after the recovery time.
func (t *Target) crash(l *life) {
	t.mutex.Lock()
	present := t.life == l
	t.mutex.Unlock()
	if !present {
		return
	}
	t.end()
	t.group.Add(1)
	go t.loop()
}

// loop waits for the recovery time and begins a new life.
func (t *Target) loop() {
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
	down := t.life == nil
	t.mutex.Unlock()
	if down {
		_ = t.begin(false) // A target that cannot listen again stays down.
	}
}
