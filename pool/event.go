package pool

import (
	"time"

	"bergamotworks/note"
)

// Event is something that a pool learns.
type Event interface{ event() }

// Submitted means that a call asks to be run.
type Submitted struct{ Call Call }

// StreamStarted means that the first token of a running call was seen.
type StreamStarted struct {
	Attempt    string
	FirstToken time.Duration
}

// StreamSlowed means that the tokens of a running call come far slower than before.
type StreamSlowed struct{ Attempt string }

// Finished means that a dispatched call ended.
type Finished struct {
	Attempt string
	Outcome Outcome
}

// CancelRequested means that nobody waits for a call any more.
type CancelRequested struct{ Attempt string }

// LoadReported means that a target told its load.
type LoadReported struct {
	Target string
	Load   LoadReport
}

// CacheReported means that a target told a change of its prefix cache. A
// Sequence that does not follow the last one shows a gap. Full says that Added
// is the whole content.
type CacheReported struct {
	Target   string
	Sequence uint64
	Added    []uint64
	Removed  []uint64
	Full     bool
}

// Configured means that another configuration is in force.
type Configured struct{ Config note.Config }

// TakenOver means that this node became the pool's owner. State is nil unless
// the predecessor handed it over in a planned stop.
type TakenOver struct {
	Planned bool
	State   *Handover
}

// Suspended means that the node was cut off: nothing is dispatched.
type Suspended struct{}

// Resumed means that a node that was cut off or paused goes on.
type Resumed struct{}

// Drained means that the owner leaves. Waiting and new calls are refused, so
// that they reach the next owner; running calls end here.
type Drained struct{}

// Ticked means that time has passed.
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
