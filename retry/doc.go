// Package retry decides whether a failed stage call is tried again.
//
// Retries that cost work on a target come out of a budget, a share of the first
// attempts. A call that was refused without having run may be sent to another
// pool without cost. The package is a state machine: it takes the time as an
// argument and starts nothing.
package retry
