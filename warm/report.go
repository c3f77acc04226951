package warm

import "time"

// Report applies a load report that arrived at now. It ignores a report of an
// earlier incarnation.
func (t *Target) Report(now time.Time, report LoadReport) {
	t.advance(now)
	if report.Incarnation != 0 && report.Incarnation < t.incarnation {
		return
	}
	t.checkIncarnation(now, report)
	t.checkCache(now, report)
	t.recountUntracked(now, report)
}

func (t *Target) checkIncarnation(now time.Time, report LoadReport) {
	if report.Incarnation == 0 {
		return
	}
	if t.incarnation != 0 && report.Incarnation > t.incarnation {
		t.MarkCold(now, Restarted)
		t.cached = false
	}
	t.incarnation = report.Incarnation
}

func (t *Target) checkCache(now time.Time, report LoadReport) {
	if report.Cached < 0 {
		return
	}
	if t.cached && report.Cached == 0 {
		t.MarkCold(now, CacheLost)
	}
	t.cached = report.Cached > 0
}

// recountUntracked sets the number of untracked calls to those in the report beyond
// the peak of own calls in flight during the time that the report may describe.
func (t *Target) recountUntracked(now time.Time, report LoadReport) {
	if now.Add(-report.age()).Before(t.assumedAt) {
		return // The report is older than the assumption.
	}
	extra := report.Running + report.Waiting - t.peak.value(now, t.running)
	t.untracked = max(0, extra)
	t.untrackedUntil = now.Add(t.Settings.untrackedTimeout())
}

// AssumeUntracked sets the number of calls that this node does not track but that
// may run on the target, such as those of a previous owner. The number holds until
// a report corrects it or the untracked timeout has passed.
func (t *Target) AssumeUntracked(now time.Time, calls int) {
	t.assume(now, calls, t.Settings.untrackedTimeout())
}

func (t *Target) assume(now time.Time, calls int, timeout time.Duration) {
	t.untracked = calls
	t.assumedAt = now
	t.untrackedUntil = now.Add(timeout)
}

// State is the state of one target in a planned handover. Threshold is the limit at
// which slow start ends. Responses counts the responses since the target became
// cold, FastResponses those among them that were fast. Running counts the calls that
// the receiver must assume to run. The baselines, of the time to the first token and
// between tokens, and Latency are in nanoseconds; zero means not known.
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

// State returns the state for the next owner at now.
func (t *Target) State(now time.Time) State {
	t.advance(now)
	return State{
		Phase: t.phase, Limit: t.limit, Threshold: t.threshold,
		FastResponses: t.fastResponses, Responses: t.responses, Running: t.Occupied(now),
		FirstTokenBaseline: t.firstToken.baseline, InterTokenBaseline: t.interToken.baseline,
		Latency: t.Latency(now), Incarnation: t.incarnation,
	}
}

// Restore applies the state of the previous owner at now. The calls in flight of
// the previous owner count as untracked.
func (t *Target) Restore(now time.Time, state State) {
	t.advance(now)
	t.phase = state.Phase
	t.limit = min(max(1, state.Limit), float64(t.Settings.WarmLimit))
	t.threshold = state.Threshold
	t.fastResponses = state.FastResponses
	t.responses = state.Responses
	t.firstToken = restoredTracker(state.FirstTokenBaseline)
	t.interToken = restoredTracker(state.InterTokenBaseline)
	t.incarnation = state.Incarnation
	if state.Latency > 0 {
		t.latency = average{mean: float64(state.Latency), updatedAt: now}
	}
	t.AssumeUntracked(now, state.Running)
}

// Configure applies new settings at now.
func (t *Target) Configure(now time.Time, settings Settings) {
	t.advance(now)
	t.Settings = settings
	if t.phase == Cold {
		t.limit = float64(settings.ColdLimit)
	}
	t.limit = min(t.limit, float64(settings.WarmLimit))
	t.threshold = min(t.threshold, float64(settings.WarmLimit))
}
