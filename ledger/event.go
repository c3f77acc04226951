package ledger

import (
	"bergamotworks/fault"
	"bergamotworks/ports"
)

// Event is an input of a [Shard].
type Event interface{ event() }

// OpSubmitted brings an operation of a waiter.
type OpSubmitted struct {
	// ID names the waiter.
	ID uint64
	// Op is the operation.
	Op Op
	// Fresh asks for the head to be read again before the decision.
	Reload bool
}

// DeadlineExceeded says that a waiter's deadline has passed.
type DeadlineExceeded struct{ ID uint64 }

// LoadCompleted answers a [Load].
type LoadCompleted struct {
	// Entries are the keys found.
	Entries []ports.KeyValue
	// Err is set if the store could not be read.
	Err error
}

// CommitResult is what is known of a commit.
type CommitResult int

// The results of a commit.
const (
	// Unknown means that the commit may have taken effect or may still do so.
	Unknown CommitResult = iota
	// Applied means that the commit took effect.
	Applied
	// Conflict means that the head had changed; this sending had no effect.
	Conflict
	// Refused means that this sending never reached the store.
	Refused
)

// CommitCompleted answers a [Commit].
type CommitCompleted struct {
	// Result is what is known of the commit.
	Result CommitResult
	// Revision is the head's new revision if the commit was applied.
	Revision int64
}

// CutoffUpdated tells the shard the age below which records may be dropped.
type CutoffUpdated struct {
	// CutoffMS is the creation time, in Unix milliseconds, up to which records
	// may be dropped. Zero means that this node is not the shard's writer.
	CutoffMS int64
}

// TimerFired says that the time of a [Wait] has come.
type TimerFired struct{}

func (OpSubmitted) event()      {}
func (DeadlineExceeded) event() {}
func (LoadCompleted) event()    {}
func (CommitCompleted) event()  {}
func (CutoffUpdated) event()    {}
func (TimerFired) event()       {}

// Action is an output of a [Shard].
type Action interface{ action() }

// Load asks for the values of some keys. It is answered by [Loaded].
type Load struct{ Ranges []ports.RangeRequest }

// Commit asks for a transaction. It is answered by [Committed].
type Commit struct{ Txn ports.Txn }

// SetTimer asks for a [Woken] at a time, in Unix nanoseconds.
type SetTimer struct{ UntilNS int64 }

// Respond answers a waiter.
type Respond struct {
	// ID names the waiter.
	ID uint64
	// Answer is valid if Err is nil.
	Decision Decision
	// Err says why there is no answer. Its verdict is NotRun only if the
	// operation is in no commit that may take effect.
	Err *fault.Error
}

func (Load) action()     {}
func (Commit) action()   {}
func (SetTimer) action() {}
func (Respond) action()  {}
