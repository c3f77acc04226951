package ledger

import (
	"bergamotworks/fault"
	"bergamotworks/ports"
)

// Event is an input of a [Shard].
type Event interface{ event() }

// Submitted brings an operation of a waiter.
type Submitted struct {
	// ID names the waiter.
	ID uint64
	// Op is the operation.
	Op Op
	// Fresh asks for the head to be read again before the decision.
	Fresh bool
}

// Expired says that a waiter's deadline has passed.
type Expired struct{ ID uint64 }

// Loaded answers a [Load].
type Loaded struct {
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
	// Outrun means that the head had changed; this sending had no effect.
	Outrun
	// Refused means that this sending never reached the store.
	Refused
)

// Committed answers a [Commit].
type Committed struct {
	// Result is what is known of the commit.
	Result CommitResult
	// Revision is the head's new revision if the commit was applied.
	Revision int64
}

// Ticked tells the shard the age below which records may be dropped.
type Ticked struct {
	// CutoffMS is the creation time, in Unix milliseconds, up to which records
	// may be dropped. Zero means that this node is not the shard's writer.
	CutoffMS int64
}

// Woken says that the time of a [Wait] has come.
type Woken struct{}

func (Submitted) event() {}
func (Expired) event()   {}
func (Loaded) event()    {}
func (Committed) event() {}
func (Ticked) event()    {}
func (Woken) event()     {}

// Action is an output of a [Shard].
type Action interface{ action() }

// Load asks for the values of some keys. It is answered by [Loaded].
type Load struct{ Ranges []ports.RangeRequest }

// Commit asks for a transaction. It is answered by [Committed].
type Commit struct{ Txn ports.Txn }

// Wait asks for a [Woken] at a time, in Unix nanoseconds.
type Wait struct{ UntilNS int64 }

// Reply answers a waiter.
type Reply struct {
	// ID names the waiter.
	ID uint64
	// Answer is valid if Err is nil.
	Answer Answer
	// Err says why there is no answer. Its verdict is NotRun only if the
	// operation is in no commit that may take effect.
	Err *fault.Error
}

func (Load) action()   {}
func (Commit) action() {}
func (Wait) action()   {}
func (Reply) action()  {}
