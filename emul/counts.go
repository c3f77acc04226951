package emul

import "time"

// Counts is what a target has counted on its own side.
type Counts struct {
	Calls     int `json:"calls"`   // Calls that started to run.
	Refused   int `json:"refused"` // Calls refused before they ran.
	Completed int `json:"whole"`   // Calls whose answer was written whole.
	// Canceled counts calls whose connection was closed before the end.
	Canceled int `json:"canceled"`
	// RepeatedAttempts counts calls that carried the attempt of an earlier one.
	RepeatedAttempts int `json:"repeated_attempts"`
	// BeyondColdLimit counts calls that started while a cold target already
	// ran as many as it bears.
	BeyondColdLimit int `json:"beyond_cold_limit"`
	// BeyondColdLimitInGrace counts those within half a second after a warm
	// target turned cold without warning; they are not in BeyondColdLimit.
	BeyondColdLimitInGrace int `json:"beyond_cold_limit_in_grace"`
	// AfterDeparture counts calls that started later than the grace after the
	// target or its failure domain was taken out.
	AfterDrain int `json:"after_departure"`
	// LatestAfterDeparture is the latest start after a departure.
	LatestAfterDrain time.Duration `json:"latest_after_departure_ns"`
	PoisonCrashes    int           `json:"poison_crashes"`
	OverloadCrashes  int           `json:"overload_crashes"`
	Incarnations     int           `json:"incarnations"`
	CacheHits        int           `json:"cache_hits"`
	Tokens           int           `json:"tokens"`
	Busy             time.Duration `json:"busy_ns"`
	MaxRunning       int           `json:"most_running"`
	OrdersExecuted   int           `json:"orders_obeyed"`
	OrdersRefused    int           `json:"orders_refused"`
}

// plus returns the sum of two counts; maxima stay maxima.
func (c Counts) plus(d Counts) Counts {
	c.Calls += d.Calls
	c.Refused += d.Refused
	c.Completed += d.Completed
	c.Canceled += d.Canceled
	c.RepeatedAttempts += d.RepeatedAttempts
	c.BeyondColdLimit += d.BeyondColdLimit
	c.BeyondColdLimitInGrace += d.BeyondColdLimitInGrace
	c.AfterDrain += d.AfterDrain
	c.LatestAfterDrain = max(c.LatestAfterDrain, d.LatestAfterDrain)
	c.PoisonCrashes += d.PoisonCrashes
	c.OverloadCrashes += d.OverloadCrashes
	c.Incarnations += d.Incarnations
	c.CacheHits += d.CacheHits
	c.Tokens += d.Tokens
	c.Busy += d.Busy
	c.MaxRunning = max(c.MaxRunning, d.MaxRunning)
	c.OrdersExecuted += d.OrdersExecuted
	c.OrdersRefused += d.OrdersRefused
	return c
}
