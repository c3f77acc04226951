package warm

import "time"

// Report takes in a load report that arrives at now.
func (t *Target) Report(now time.Time, report LoadReport) {
	t.settle(now)
	if report.Incarnation != 0 && report.Incarnation < t.incarnation {
		return
	}
	t.restart(now, report)
	t.uncache(now, report)
	t.recount(now, report)
}

func (t *Target) restart(now time.Time, report LoadReport) {
	if report.Incarnation == 0 {
		return
	}
	if t.incarnation != 0 && report.Incarnation > t.incarnation {
		t.MarkCold(now, Restarted)
		t.cached = false
	}
	t.incarnation = report.Incarnation
}

func (t *Target) uncache(now time.Time, report LoadReport) {
	if report.Cached < 0 {
		return
	}
	if t.cached && report.Cached == 0 {
		t.MarkCold(now, CacheLost)
	}
	t.cached = report.Cached > 0
}

// recount replaces the assumed number of other calls by what the report shows
// beyond the largest number of own calls in the time that it may describe.
func (t *Target) recount(now time.Time, report LoadReport) {
	if now.Add(-report.age()).Before(t.heardAt) {
		return // Taken before the assumption: it cannot refute it.
	}
	beyond := report.Running + report.Waiting - t.peak.value(now, t.running)
	t.foreign = max(0, beyond)
	t.foreignTo = now.Add(t.Settings.absent())
}

// AssumeUntracked counts calls of others that may be on the target, until reports or the
// passing of time show otherwise.
func (t *Target) AssumeUntracked(now time.Time, calls int) {
	t.assume(now, calls, t.Settings.absent())
}

func (t *Target) assume(now time.Time, calls int, wait time.Duration) {
	t.foreign = calls
	t.heardAt = now
	t.foreignTo = now.Add(wait)
}

// State is what a planned hand-over passes on about one target.
type State struct {
	Phase              Phase         `json:"phase"`
	Limit              float64       `json:"limit"`
	Threshold          float64       `json:"threshold"`
	FastResponses      int           `json:"proofs"`
	Responses          int           `json:"answers"`
	Running            int           `json:"running"`
	FirstTokenBaseline float64       `json:"first"`
	InterTokenBaseline float64       `json:"between"`
	Latency            time.Duration `json:"latency"`
	Incarnation        uint64        `json:"incarnation"`
}

// State returns what a successor needs to go on.
func (t *Target) State(now time.Time) State {
	t.settle(now)
	return State{
		Phase: t.phase, Limit: t.limit, Threshold: t.threshold,
		FastResponses: t.proofs, Responses: t.answers, Running: t.Occupied(now),
		FirstTokenBaseline: t.first.usual, InterTokenBaseline: t.between.usual,
		Latency: t.Latency(now), Incarnation: t.incarnation,
	}
}

// Restore goes on from a predecessor's state at now. Its running calls count as
// work of others until they are known to be gone.
func (t *Target) Restore(now time.Time, state State) {
	t.settle(now)
	t.phase = state.Phase
	t.limit = min(max(1, state.Limit), float64(t.Settings.WarmLimit))
	t.threshold = state.Threshold
	t.proofs = state.FastResponses
	t.answers = state.Responses
	t.first = inheritedNorm(state.FirstTokenBaseline)
	t.between = inheritedNorm(state.InterTokenBaseline)
	t.incarnation = state.Incarnation
	if state.Latency > 0 {
		t.latency = average{mean: float64(state.Latency), seen: now}
	}
	t.AssumeUntracked(now, state.Running)
}

// Configure puts new bounds in force at now.
func (t *Target) Configure(now time.Time, settings Settings) {
	t.settle(now)
	t.Settings = settings
	if t.phase == Cold {
		t.limit = float64(settings.ColdLimit)
	}
	t.limit = min(t.limit, float64(settings.WarmLimit))
	t.threshold = min(t.threshold, float64(settings.WarmLimit))
}
