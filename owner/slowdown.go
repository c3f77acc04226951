package owner

import "time"

const (
	windowTokens = 8 // Number of tokens in a window. The gap of a window is the mean time between its tokens.
	// minBaselineWindows is the number of windows before the baseline counts as
	// known. The baseline is a mean over them, since tokens delayed in the network
	// arrive in bursts.
	minBaselineWindows = 3
	minSlowWindows     = 2 // Consecutive slow windows; a single one may be a stall.
	// slowFactor is the ratio to the baseline from which a window is slow. Load up
	// to the warm limit does not slow a target this much.
	slowFactor      = 4
	jitterAllowance = 1 * time.Millisecond // Expected jitter of a mean gap.
)

// slowdownDetector detects that the tokens of a stream arrive far more slowly
// than before, as they do when the target has become cold. A late first token of a
// new call shows the same, but a target at its limit gets a new call only after a
// running one has finished, which takes many times the usual latency.
type slowdownDetector struct {
	windowStart     time.Time     // Time of the last token before the window.
	tokens          int           // Tokens in the window so far.
	baseline        time.Duration // Usual mean gap.
	baselineWindows int           // Windows that baseline is the mean of.
	slowCount       int           // Consecutive slow windows.
	reported        bool
}

// observe records a token that arrived at now. It returns true once, when it
// first detects that the stream is slow.
func (d *slowdownDetector) observe(now time.Time) bool {
	if d.windowStart.IsZero() {
		d.windowStart = now
		return false
	}
	if d.tokens++; d.tokens < windowTokens {
		return false
	}
	gap := now.Sub(d.windowStart) / windowTokens
	d.windowStart, d.tokens = now, 0
	if d.baselineWindows < minBaselineWindows || gap <= slowFactor*(d.baseline+jitterAllowance) {
		d.baselineWindows++
		d.baseline += (gap - d.baseline) / time.Duration(d.baselineWindows)
		d.slowCount = 0
		return false
	}
	d.slowCount++
	if d.reported || d.slowCount < minSlowWindows {
		return false
	}
	d.reported = true
	return true
}
