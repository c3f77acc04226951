package emul

import "time"

// Counts holds what a target has counted since it was started. The counts beyond
// the cold limit and after a drain include calls that crashed the target by
// overload, which Calls does not.
type Counts struct {
	Calls     int `json:"calls"`   // Calls that started to run.
	Rejected  int `json:"refused"` // Calls rejected before they ran.
	Completed int `json:"whole"`   // Calls whose response was written completely.
	// Canceled counts calls that ended before their response was complete.
	Canceled int `json:"canceled"`
	// RepeatedAttempts counts calls with the attempt identifier of an earlier one.
	RepeatedAttempts int `json:"repeated_attempts"`
	// BeyondColdLimit counts calls that were admitted, or crashed the target by
	// overload, while a cold target already ran as many as its cold limit.
	BeyondColdLimit int `json:"beyond_cold_limit"`
	// BeyondColdLimitInGrace counts such calls within 500 ms after a warm target
	// became cold without notice; BeyondColdLimit does not include them.
	BeyondColdLimitInGrace int `json:"beyond_cold_limit_in_grace"`
	// AfterDrain counts calls that were admitted, or crashed the target by
	// overload, more than 3 s after the target or its failure domain was drained.
	AfterDrain int `json:"after_departure"`
	// LatestAfterDrain is the longest time between a drain and such a call, also
	// within the 3 s.
	LatestAfterDrain time.Duration `json:"latest_after_departure_ns"`
	PoisonCrashes    int           `json:"poison_crashes"`
	OverloadCrashes  int           `json:"overload_crashes"`
	Incarnations     int           `json:"incarnations"`
	CacheHits        int           `json:"cache_hits"`
	Tokens           int           `json:"tokens"`
	Busy             time.Duration `json:"busy_ns"`
	MaxRunning       int           `json:"most_running"`
	OrdersExecuted   int           `json:"orders_obeyed"`
	OrdersRejected   int           `json:"orders_refused"`
}

// plus returns the sums of the counts, and the maxima of LatestAfterDrain and
// MaxRunning.
func (c Counts) plus(d Counts) Counts {
	c.Calls += d.Calls
	c.Rejected += d.Rejected
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
	c.OrdersRejected += d.OrdersRejected
	return c
}
