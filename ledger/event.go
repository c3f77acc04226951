package ledger

import (
	"bergamotworks/fault"
	"bergamotworks/ports"
)

// Event is an input of a [Shard].
type Event interface{ event() }

// OpSubmitted submits an operation on behalf of a waiter.
type OpSubmitted struct {
	// ID identifies the waiter.
	ID uint64
	// Op is the operation.
	Op Op
	// Reload requests that the head is read again before the decision.
	Reload bool
}

// DeadlineExceeded reports that the deadline of a waiter has passed.
type DeadlineExceeded struct{ ID uint64 }

// LoadCompleted is the result of a [Load].
type LoadCompleted struct {
	// Entries are the keys that were found, with their values.
	Entries []ports.KeyValue
	// Err is set if the store could not be read.
	Err error
}

// CommitResult is what is known about the effect of a commit.
type CommitResult int

// Results of a commit. The line comments are the texts in metric names and
// logs.
const (
	// Unknown means that the commit may have taken effect or may still do so.
	Unknown CommitResult = iota // unknown
	// Applied means that the commit took effect.
	Applied // applied
	// Conflict means that the head had changed, so the compare-and-swap failed
	// and this attempt had no effect.
	Conflict // outrun
	// Rejected means that this attempt had no effect because the store did not
	// execute it.
	Rejected // refused
)

// CommitCompleted is the result of one attempt of a [Commit].
type CommitCompleted struct {
	// Result is what is known about the effect of this attempt.
	Result CommitResult
	// Revision is the head's new revision if the commit was applied.
	Revision int64
}

// CutoffUpdated sets the creation time up to which retention may drop records.
type CutoffUpdated struct {
	// CutoffMS is the creation time, in Unix milliseconds, up to which records
	// may be dropped. Zero means that this node is not the writer of the shard.
	CutoffMS int64
}

// TimerFired reports that the time of a [SetTimer] has been reached.
type TimerFired struct{}

func (OpSubmitted) event()      {}
func (DeadlineExceeded) event() {}
func (LoadCompleted) event()    {}
func (CommitCompleted) event()  {}
func (CutoffUpdated) event()    {}
func (TimerFired) event()       {}

// Action is an output of a [Shard].
type Action interface{ action() }

// Load requests a read of some keys. Its result is a [LoadCompleted].
type Load struct{ Ranges []ports.RangeRequest }

// Commit requests a transaction. Its result is a [CommitCompleted].
type Commit struct{ Txn ports.Txn }

// SetTimer requests a [TimerFired] at a time, in Unix nanoseconds.
type SetTimer struct{ UntilNS int64 }

// Respond sends the result of an operation to its waiter.
type Respond struct {
	// ID identifies the waiter.
	ID uint64
	// Decision is valid if Err is nil.
	Decision Decision
	// Err is set if there is no decision. Its verdict is NotRun only if the
	// operation is in no commit that may still take effect.
	Err *fault.Error
}

func (Load) action()     {}
func (Commit) action()   {}
func (SetTimer) action() {}
func (Respond) action()  {}
