package warm

import "time"

// OutcomeKind says how a call ended.
type OutcomeKind int

// The outcomes of a call.
const (
	// Succeeded means that the whole answer arrived.
	Succeeded OutcomeKind = iota
	// Failed means that the target answered with an error.
	Failed
	// Overloaded means that the target refused the call for want of capacity.
	Overloaded
	// Crashed means that the connection was refused or reset.
	Crashed
	// Silent means that the connection made no progress until a timeout.
	Silent
	// Canceled means that the call was given up on this side.
	Canceled
)

// Outcome is the end of one call.
type Outcome struct {
	Kind OutcomeKind `json:"kind"`
	// Latency is the time from dispatch to the end.
	Latency time.Duration `json:"latency"`
	// FirstToken is the time from dispatch to the first token, zero if none came.
	FirstToken time.Duration `json:"first_token"`
	// Tokens is the number of tokens generated.
	Tokens int `json:"tokens"`
}

// pace returns the time between tokens, or zero if there is none.
func (o Outcome) pace() time.Duration {
	if o.FirstToken <= 0 || o.Tokens < 2 {
		return 0
	}
	return (o.Latency - o.FirstToken) / time.Duration(o.Tokens-1)
}

// LoadReport is what a target says about its own load.
type LoadReport struct {
	// Incarnation tells one life of the target's process from the next and only
	// rises; zero means unknown.
	Incarnation uint64 `json:"incarnation"`
	// Running and Waiting count the calls that the target holds.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Cached is the number of prefixes held; negative means unknown.
	Cached int `json:"cached"`
	// Age is the time since the report was taken; zero means unknown.
	Age time.Duration `json:"age"`
}

func (r LoadReport) age() time.Duration {
	if r.Age <= 0 {
		return defaultReportAge
	}
	return r.Age
}
