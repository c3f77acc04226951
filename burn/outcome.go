package burn

import (
	"time"

	"bergamotworks/fault"
)

// Outcome is the result of one request.
type Outcome struct {
	At         time.Time
	Pipeline   string
	Class      string
	Account    string
	Domain     string        // Failure domain that the request ran or failed in; may be empty.
	Attained   bool          // The response was complete and met the deadline.
	Rejected   bool          // The request failed with the verdict NotRun.
	Retried    bool          // Some stage had more than one attempt.
	Verdict    fault.Verdict // Used if Attained is false; the zero value, MayHaveRun, if the request succeeded too late.
	Latency    time.Duration
	FirstToken time.Duration // Time to the first token; zero if nothing was streamed.
	Stages     []StageCost
}

// StageCost is the work of a target for one attempt at a stage.
type StageCost struct {
	Stage      string
	Service    string
	Domain     string
	Target     string
	TargetTime time.Duration
	Tokens     int
	Wasted     bool // The attempt did not contribute to a response.
}
