package warm

import (
	"time"

	"bergamotworks/note"
)

const (
	defaultWarmUpCalls = 5
	defaultTypical     = 100 * time.Millisecond
	defaultReportAge   = time.Second

	// absentFactor times the usual latency is the time after which work that
	// nothing was heard of is taken to be gone.
	absentFactor = 3
	// minimumAbsent bounds that time from below.
	minimumAbsent = 500 * time.Millisecond

	congestedRatio = 2.0 // Latency over its norm from which the limit shrinks.
	coldRatio      = 8.0 // First-token latency over its norm that shows a cold target.
	shrinkFactor   = 0.8
	minimumSamples = 8 // Answers before a norm is trusted.

	firstBackoff   = 250 * time.Millisecond
	longestBackoff = 4 * time.Second
	failureStreak  = 3 // Failures in a row after which a target backs off.
)

// Settings are the configured bounds of one target.
type Settings struct {
	ColdLimit      int
	WarmLimit      int
	WarmUpCalls    int
	TypicalLatency time.Duration
	// IdleCold is the idle time after which a target is cold; zero means never.
	IdleCold time.Duration
}

// SettingsOf returns the settings that a service gives its targets.
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
		s.TypicalLatency = defaultTypical
	}
	return s
}

// WithSplit returns settings whose limits are divided among nodes, at least one each.
func (s Settings) WithSplit(nodes int) Settings {
	if nodes > 1 {
		s.ColdLimit = max(1, s.ColdLimit/nodes)
		s.WarmLimit = max(1, s.WarmLimit/nodes)
	}
	return s
}

// WithoutWarmUp returns settings under which a target is warm from the start.
func (s Settings) WithoutWarmUp() Settings {
	s.ColdLimit = s.WarmLimit
	s.WarmUpCalls = 0
	return s
}

// absent returns the time after which work that nothing was heard of is gone.
func (s Settings) absent() time.Duration {
	return max(minimumAbsent, absentFactor*s.TypicalLatency)
}
