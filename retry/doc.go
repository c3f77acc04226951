// Package retry decides whether a failed call of a stage is retried.
//
// Retries of calls that may have run cost work on a target and are limited by
// a retry budget, a ratio of first attempts. A call that was rejected, so that
// it did not run, may be sent to another pool without using the budget. A stage
// is one call of a pipeline.
//
// The package is a state machine without I/O: the time is passed as an
// argument, and it starts no goroutines.
package retry
