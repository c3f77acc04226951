package pool

import (
	"time"

	"bergamotworks/note"
)

// Event is an input of a pool.
type Event interface{ event() }

// Submitted means that a new call arrived.
type Submitted struct{ Call Call }

// StreamStarted means that the first token of a running call arrived, FirstToken
// after its dispatch.
type StreamStarted struct {
	Attempt    string
	FirstToken time.Duration
}

// StreamSlowed means that the tokens of a running call arrive far more slowly than
// before.
type StreamSlowed struct{ Attempt string }

// Finished means that a dispatched call finished, successfully or not.
type Finished struct {
	Attempt string
	Outcome Outcome
}

// CancelRequested means that the result of a call is no longer needed.
type CancelRequested struct{ Attempt string }

// LoadReported means that a target reported its load.
type LoadReported struct {
	Target string
	Load   LoadReport
}

// CacheReported means that a target reported a change of its prefix cache. A
// Sequence that is not one above the previous one indicates a gap. If Full is set,
// Added is the whole content of the cache.
type CacheReported struct {
	Target   string
	Sequence uint64
	Added    []uint64
	Removed  []uint64
	Full     bool
}

// Configured means that a new configuration is active.
type Configured struct{ Config note.Config }

// TakenOver means that this node became the pool's owner. State is nil unless
// the previous owner handed it over; Planned says whether it did.
type TakenOver struct {
	Planned bool
	State   *Handover
}

// Suspended means that this node may no longer be the owner, since it was paused
// or its membership is not confirmed. Nothing is dispatched until [Resumed].
type Suspended struct{}

// Resumed means that this node is the owner again after [Suspended].
type Resumed struct{}

// Drained means that the owner shuts down or has lost ownership of the pool.
// Waiting and new calls are rejected, so that they reach the next owner; running
// calls finish here.
type Drained struct{}

// Ticked means that time has passed. It lets waiting calls expire.
type Ticked struct{}

func (Submitted) event()       {}
func (StreamStarted) event()   {}
func (StreamSlowed) event()    {}
func (Finished) event()        {}
func (CancelRequested) event() {}
func (LoadReported) event()    {}
func (CacheReported) event()   {}
func (Configured) event()      {}
func (TakenOver) event()       {}
func (Suspended) event()       {}
func (Resumed) event()         {}
func (Drained) event()         {}
func (Ticked) event()          {}
