package warm

import (
	"time"

	"bergamotworks/note"
)

const (
	defaultWarmUpCalls    = 5
	defaultTypicalLatency = 100 * time.Millisecond
	defaultReportAge      = time.Second // Age of a report that does not state it.

	// untrackedFactor is the multiple of the typical latency after which untracked
	// calls are assumed to have finished.
	untrackedFactor = 3
	// minUntrackedTimeout is the minimum time after which they are assumed to have
	// finished.
	minUntrackedTimeout = 500 * time.Millisecond

	congestedRatio = 2.0 // Ratio of latency to baseline above which the limit is lowered.
	coldRatio      = 8.0 // Ratio of the time to the first token to its baseline above which a target becomes cold.
	decreaseFactor = 0.8 // Factor by which the limit is lowered.
	minSamples     = 8   // Samples after which a baseline is known.

	minBackoff    = 250 * time.Millisecond
	maxBackoff    = 4 * time.Second
	failureStreak = 3 // Consecutive failures after which a target backs off.
)

// Settings are the admission settings of one target.
type Settings struct {
	ColdLimit int // Maximum calls in flight while cold.
	WarmLimit int // Maximum calls in flight while warm.
	// WarmUpCalls is the number of fast responses after which a target is no longer
	// cold. Four times as many responses of any latency are enough too.
	WarmUpCalls    int
	TypicalLatency time.Duration // Expected latency of a call, used while nothing has been measured.
	// IdleCold is the idle time after which a target becomes cold; zero means never.
	IdleCold time.Duration
}

// SettingsOf returns the settings of a service's targets, with defaults for values
// that are not configured.
func SettingsOf(service note.Service) Settings {
	s := Settings{
		ColdLimit:      max(1, service.ColdLimit),
		WarmUpCalls:    service.WarmUpCalls,
		TypicalLatency: service.TypicalLatency(),
		IdleCold:       time.Duration(service.IdleColdMS) * time.Millisecond,
	}
	s.WarmLimit = max(s.ColdLimit, service.WarmLimit)
	if s.WarmUpCalls <= 0 {
		s.WarmUpCalls = defaultWarmUpCalls
	}
	if s.TypicalLatency <= 0 {
		s.TypicalLatency = defaultTypicalLatency
	}
	return s
}

// WithSplit returns the settings of one of several nodes that share the limits of
// the target equally. Each limit is at least one.
func (s Settings) WithSplit(nodes int) Settings {
	if nodes > 1 {
		s.ColdLimit = max(1, s.ColdLimit/nodes)
		s.WarmLimit = max(1, s.WarmLimit/nodes)
	}
	return s
}

// WithoutWarmUp returns settings whose cold limit is the warm limit, so that a
// target has that limit from the start, and keeps it when its latency rises.
func (s Settings) WithoutWarmUp() Settings {
	s.ColdLimit = s.WarmLimit
	s.WarmUpCalls = 0
	return s
}

// untrackedTimeout returns the time after which untracked calls are assumed to have
// finished.
func (s Settings) untrackedTimeout() time.Duration {
	return max(minUntrackedTimeout, untrackedFactor*s.TypicalLatency)
}
