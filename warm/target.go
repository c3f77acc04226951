package warm

import "time"

// Phase says how far a target has shown what it bears.
type Phase int

// The phases of a target.
const (
	// Cold means that only the cold limit is allowed.
	Cold Phase = iota
	// SlowStart means that the limit grows with each answer.
	SlowStart
	// Warm means that the limit follows the target's latency.
	Warm
)

// Cause says why a target became cold.
type Cause int

// The causes of a cold start.
const (
	// Unknown means that nothing has been seen of the target yet.
	Unknown Cause = iota
	// Restarted means that the target reported a new incarnation.
	Restarted
	// Reset means that a connection was refused or reset.
	Reset
	// Slow means that a first token took far longer than usual, or that tokens
	// come far slower than before.
	Slow
	// CacheLost means that the target's prefix cache was emptied.
	CacheLost
	// Idle means that the target had no work for too long.
	Idle
	// Returned means that the failure domain came back into service.
	Returned
	// Refused means that the target refused work for want of capacity.
	Refused
	// Broken means that calls failed in a row.
	Broken
	// Inherited means that another node owned the target and died.
	Inherited
)

// Target is the admission state of one target. Set Settings before use.
type Target struct {
	Settings Settings

	phase     Phase
	cause     Cause
	limit     float64
	threshold float64 // Limit from which growth is additive.
	answers   int     // Answers since the target became cold.
	proofs    int     // Those of them that were fast enough.
	epoch     int     // Number of cold starts; answers of earlier ones prove nothing.

	running   int
	peak      peak
	foreign   int // Calls of others, or given up, that may still run.
	heardAt   time.Time
	foreignTo time.Time

	lastUse    time.Time
	backoff    time.Duration
	notBefore  time.Time
	probing    bool // The target has not answered since it backed off.
	failures   int
	silentAt   time.Time // When a silent call was last counted as a failure.
	lastShrink time.Time

	first   norm // Time to the first token, or latency of a call without tokens.
	between norm // Time between tokens.
	latency average

	incarnation uint64
	cached      bool
}

// Phase returns the target's phase.
func (t *Target) Phase() Phase { return t.phase }

// Cause returns why the target last became cold.
func (t *Target) Cause() Cause { return t.cause }

// Running returns the number of own calls in flight.
func (t *Target) Running() int { return t.running }

// Occupied returns the number of calls that the target may hold at now: own
// ones and those that others may have left there.
func (t *Target) Occupied(now time.Time) int {
	if t.foreign > 0 && !now.Before(t.foreignTo) {
		t.foreign = 0
	}
	return t.running + t.foreign
}

// Limit returns the number of calls that the target may hold at now.
func (t *Target) Limit(now time.Time) int {
	t.settle(now)
	if now.Before(t.notBefore) {
		return 0
	}
	if t.probing {
		return 1
	}
	return max(1, int(t.limit))
}

// Free returns the number of further calls that the target may get at now.
func (t *Target) Free(now time.Time) int {
	return max(0, t.Limit(now)-t.Occupied(now))
}

// Latency returns the recent time of one call.
func (t *Target) Latency(now time.Time) time.Duration {
	return t.latency.value(now, t.Settings.TypicalLatency)
}

// Epoch returns a number that changes with each cold start.
func (t *Target) Epoch() int { return t.epoch }

// Start counts a call that is dispatched at now.
func (t *Target) Start(now time.Time) {
	t.settle(now)
	t.running++
	t.peak.see(now, t.running)
	t.lastUse = now
}

// MarkCold makes the target cold at now.
func (t *Target) MarkCold(now time.Time, cause Cause) {
	if t.phase != Cold {
		t.threshold = max(float64(t.Settings.ColdLimit), t.limit/2)
	}
	t.phase = Cold
	t.cause = cause
	t.limit = float64(t.Settings.ColdLimit)
	t.answers = 0
	t.proofs = 0
	t.epoch++
	t.first.restart()
	t.between.restart()
	t.lastUse = now
}

// settle brings the state up to now.
func (t *Target) settle(now time.Time) {
	if t.limit == 0 {
		t.limit = float64(t.Settings.ColdLimit)
		t.threshold = float64(t.Settings.WarmLimit)
		t.lastUse = now
	}
	idle := t.Settings.IdleCold
	if idle > 0 && t.running == 0 && t.phase != Cold && now.Sub(t.lastUse) > idle {
		t.MarkCold(now, Idle)
	}
}
