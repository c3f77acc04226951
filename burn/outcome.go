package burn

import (
	"time"

	"bergamotworks/fault"
)

// Outcome is what became of one request.
type Outcome struct {
	At         time.Time
	Pipeline   string
	Class      string
	Account    string
	Domain     string        // Failure domain that the request ran in or met its failure in.
	Attained   bool          // The answer was whole and in time.
	Refused    bool          // The request did not run.
	Retried    bool          // Some stage had more than one attempt.
	Verdict    fault.Verdict // Valid if the request was not attained.
	Latency    time.Duration
	FirstToken time.Duration // Zero if nothing was streamed.
	Stages     []StageCost
}

// StageCost is what one attempt at a stage cost.
type StageCost struct {
	Stage      string
	Service    string
	Domain     string
	Target     string
	TargetTime time.Duration
	Tokens     int
	Wasted     bool // The attempt did not contribute to an answer.
}
