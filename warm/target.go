package warm

import "time"

// Phase is the warm-up phase of a target.
type Phase int

// The phases of a target.
const (
	// Cold means that the limit is the cold limit.
	Cold Phase = iota // cold
	// SlowStart means that the limit grows by one with each response while it is in
	// full use.
	SlowStart // rising
	// Warm means that the limit follows the target's latency.
	Warm // warm
)

// Cause is the reason why a target became cold.
type Cause int

// The causes of a cold start.
const (
	// Unknown means that the target is new to this node.
	Unknown Cause = iota // unknown
	// Restarted means that the target reported a new incarnation.
	Restarted // restarted
	// ConnectionReset means that a connection was refused or reset.
	ConnectionReset // reset
	// Slow means that a first token took far longer than the baseline, or that
	// tokens arrived far more slowly than before.
	Slow // slow
	// CacheLost means that the target's prefix cache was emptied.
	CacheLost // cache_lost
	// Idle means that the target had no calls for longer than Settings.IdleCold.
	Idle // idle
	// Returned means that the target or its failure domain is back in service, or
	// that the target has a new address.
	Returned // returned
	// Rejected means that the target rejected a call for lack of capacity.
	Rejected // refused
	// RepeatedFailures means that several consecutive calls failed.
	RepeatedFailures // broken
	// Inherited means that another node owned the target and did not hand its state
	// over, or that this node was suspended.
	Inherited // inherited
)

// Target is the admission state of one target. Set Settings before use. A Target
// is not safe for concurrent use.
type Target struct {
	Settings Settings

	phase         Phase
	cause         Cause
	limit         float64 // Maximum calls on the target; fractional, since it may grow by less than one.
	threshold     float64 // Limit at which slow start ends.
	responses     int     // Responses since the target became cold.
	fastResponses int     // Responses among them that were fast enough.
	epoch         int     // Number of cold starts; responses to calls of earlier epochs do not count.

	running        int
	peak           peak
	untracked      int       // Calls of previous owners, or that timed out, that may still run.
	assumedAt      time.Time // When untracked was last assumed.
	untrackedUntil time.Time // When untracked calls count as finished.

	lastUse      time.Time     // Last start or end of a call, or cold start.
	backoff      time.Duration // Last backoff; zero after a success.
	backoffUntil time.Time     // End of the backoff.
	probing      bool          // No call has succeeded since the last refused or reset connection; the limit is one.
	failures     int           // Consecutive failures and rejections.
	timedOutAt   time.Time     // When a timed-out call was last counted as a failure.
	loweredAt    time.Time     // When lowerLimit last lowered the limit or, at the cold limit, set new baselines.

	firstToken latencyTracker // Time to the first token, or latency of a call that is not streamed.
	interToken latencyTracker // Time between tokens.
	latency    average

	incarnation uint64
	cached      bool // The last report showed prefixes in the cache.
}

// Phase returns the target's phase.
func (t *Target) Phase() Phase { return t.phase }

// Cause returns why the target last became cold.
func (t *Target) Cause() Cause { return t.cause }

// Running returns the number of calls in flight of this node.
func (t *Target) Running() int { return t.running }

// Occupied returns the number of calls that may run on the target at now: those in
// flight of this node and untracked ones.
func (t *Target) Occupied(now time.Time) int {
	if t.untracked > 0 && !now.Before(t.untrackedUntil) {
		t.untracked = 0
	}
	return t.running + t.untracked
}

// Limit returns the maximum number of calls on the target at now. It is zero while
// the target backs off.
func (t *Target) Limit(now time.Time) int {
	t.advance(now)
	if now.Before(t.backoffUntil) {
		return 0
	}
	if t.probing {
		return 1
	}
	return max(1, int(t.limit))
}

// FreeSlots returns the number of further calls that the target may get at now.
func (t *Target) FreeSlots(now time.Time) int {
	return max(0, t.Limit(now)-t.Occupied(now))
}

// Latency returns the recent mean latency of calls at now.
func (t *Target) Latency(now time.Time) time.Duration {
	return t.latency.value(now, t.Settings.TypicalLatency)
}

// Epoch returns the number of cold starts so far.
func (t *Target) Epoch() int { return t.epoch }

// Start records that a call is dispatched at now.
func (t *Target) Start(now time.Time) {
	t.advance(now)
	t.running++
	t.peak.observe(now, t.running)
	t.lastUse = now
}

// MarkCold makes the target cold at now. Unless it was cold already, the next slow
// start ends at half the present limit, but at no less than the cold limit.
func (t *Target) MarkCold(now time.Time, cause Cause) {
	if t.phase != Cold {
		t.threshold = max(float64(t.Settings.ColdLimit), t.limit/2)
	}
	t.phase = Cold
	t.cause = cause
	t.limit = float64(t.Settings.ColdLimit)
	t.responses = 0
	t.fastResponses = 0
	t.epoch++
	t.firstToken.resetRecent()
	t.interToken.resetRecent()
	t.lastUse = now
}

// advance updates the state to now: it initializes the limit and makes an idle
// target cold.
func (t *Target) advance(now time.Time) {
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
