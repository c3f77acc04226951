// Package warm decides how many calls one target may have in flight.
//
// A target counts as cold until its answers show otherwise. A cold target gets
// at most its cold limit. A warm one gets a limit that follows its latency and
// its refusals, and load reports, which lag, only ever lower it. The package is
// a state machine: it takes the time as an argument and starts nothing.
package warm
