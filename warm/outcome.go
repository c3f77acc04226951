package warm

import "time"

// OutcomeKind classifies how a call finished.
type OutcomeKind int

// The kinds of outcome.
const (
	// Succeeded means that the complete response arrived.
	Succeeded OutcomeKind = iota // succeeded
	// Failed means that the target returned an error.
	Failed // failed
	// Overloaded means that the target rejected the call for lack of capacity.
	Overloaded // overloaded
	// Crashed means that the connection was refused or reset.
	Crashed // crashed
	// TimedOut means that the call timed out because nothing arrived.
	TimedOut // silent
	// Canceled means that this node canceled the call.
	Canceled // canceled
)

// Outcome is the result of one dispatched call. Durations are in nanoseconds in
// JSON.
type Outcome struct {
	Kind OutcomeKind `json:"kind"`
	// Latency is the time from dispatch until the call finished.
	Latency time.Duration `json:"latency"`
	// FirstToken is the time from dispatch to the first token, zero if none arrived.
	FirstToken time.Duration `json:"first_token"`
	// Tokens is the number of tokens generated.
	Tokens int `json:"tokens"`
}

// interToken returns the mean time between tokens, or zero if there were fewer
// than two.
func (o Outcome) interToken() time.Duration {
	if o.FirstToken <= 0 || o.Tokens < 2 {
		return 0
	}
	return (o.Latency - o.FirstToken) / time.Duration(o.Tokens-1)
}

// LoadReport is the load that a target reports. Age is in nanoseconds in JSON.
type LoadReport struct {
	// Incarnation identifies a run of the target's process. It increases with each
	// restart; zero means unknown.
	Incarnation uint64 `json:"incarnation"`
	// Running and Waiting count the calls that the target holds.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Cached is the number of prefixes in the cache; negative means unknown.
	Cached int `json:"cached"`
	// Age is the time since the report was taken. Zero means unknown and is
	// replaced by one second.
	Age time.Duration `json:"age"`
}

func (r LoadReport) age() time.Duration {
	if r.Age <= 0 {
		return defaultReportAge
	}
	return r.Age
}
