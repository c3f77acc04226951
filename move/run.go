package move

import (
	"time"

	"bergamotworks/place"
	"bergamotworks/site"
)

// Run is a request that a target runs or is about to run.
type Run struct {
	ID        string // Unique among the runs of a policy.
	Service   string
	Resumable bool // It can be sent again, and its stream goes on after the last event.
	// Staged means that it reads results of stages, which are released with its first
	// event and have to be made again for the target that goes on with it.
	Staged       bool
	PromptTokens int
	OutputTokens int           // Expected.
	ReadTime     time.Duration // To read the prompt at an idle target of usual speed.
	Engine       site.EngineLimits
	Nodes        float64 // Number of nodes that may start copies.
	Draw         uint64  // Random number, another one for each decision.

	Deadline   time.Time
	StartedAt  time.Time
	FirstEvent time.Time // Zero before the first event.
	LastEvent  time.Time
	Events     int // Events so far, about one for each token.
}

// Source is the target that runs a request.
type Source struct {
	place.Standing
	Leaving  bool // It shuts down, or its failure domain is drained.
	Replaced bool // A rollout of another version is about to complete.
}

// Reason says why a run is moved.
type Reason int

// The reasons to move a run.
const (
	// Slow means that the run would end sooner at another target.
	Slow Reason = iota
	// Leaving means that the source would be gone before the end of the run.
	Leaving
	// Replaced means that the source would be stopped at the end of a rollout.
	Replaced
)

// Action says how a run is moved.
type Action int

// The ways to move a run.
const (
	// Migrate means that its memory is copied and the run goes on at the destination.
	Migrate Action = iota
	// Restart means that it is canceled and begins again at any target.
	Restart
)

// Decision is the decision to move a run.
type Decision struct {
	Action      Action
	Reason      Reason
	Destination site.Target   // Not set for Restart.
	Stay        time.Duration // Expected time to the end at the source.
	Elsewhere   time.Duration // The same if it is moved, with the copy.
}

// step returns the time for each event so far, false if there are too few events.
func (r Run) step() (time.Duration, bool) {
	if r.Events < minStepEvents {
		return 0, false
	}
	return r.LastEvent.Sub(r.FirstEvent) / time.Duration(r.Events-1), true
}

// remaining returns the number of events that are still to come.
func (r Run) remaining() int { return max(1, r.OutputTokens-r.Events) }

// copyBytes returns the size of the memory of the run so far.
func (r Run) copyBytes() float64 { return float64(r.PromptTokens+r.Events) * r.Engine.TokenBytes }

// linkRate returns the rate of a target's link in bytes per second.
func (r Run) linkRate() float64 { return r.Engine.LinkMbps * 1e6 / 8 }

// copyTime returns the time to copy the memory of the run between two targets.
func (r Run) copyTime(from, to site.Target) time.Duration {
	seconds := r.copyBytes() / r.linkRate()
	if from.Domain != to.Domain {
		seconds *= crossingFactor
	}
	return time.Duration(seconds * float64(time.Second))
}

// movable reports whether the run may be moved at all. If the results of its stages are
// released, they would have to run again, and its stream would stand still meanwhile.
func (r Run) movable() bool { return r.Engine.Moves && (!r.Staged || r.Events == 0) }

// measurable reports whether the configuration and the request state what is needed to
// determine the cost of a copy.
func (r Run) measurable() bool {
	return r.PromptTokens > 0 && r.Engine.TokenBytes > 0 && r.Engine.LinkMbps > 0
}

// CopyState says how a call to copy the memory of a run has ended.
type CopyState int

// The ends of a call to copy a run.
const (
	// CopyMade means that the destination has the copy.
	CopyMade CopyState = iota
	// CopyNoRun means that the source does not run the request (any more).
	CopyNoRun
	// CopyInProgress means that another call for the run is in progress.
	CopyInProgress
	// CopyRejected means that the destination has no capacity or is unreachable.
	CopyRejected
)

// CopyResult is the result of a call to copy the memory of a run.
type CopyResult struct {
	State   CopyState
	Handle  string // Identifies the copy; empty if there is none.
	Created int    // Events that the run has generated.
}
