package batch

import (
	"context"
	"time"

	"bergamotworks/site"
)

// Work is the pieces of one stage of one request.
type Work struct {
	Service string
	Request string   // Identifier of the caller's attempt.
	Stage   int      // Place of the stage in its route.
	Pieces  int      // Number of pieces.
	Key     string   // What a piece without inputs is made of.
	Inputs  []string // Handles of the results that each piece reads.
	Bytes   int64    // Approximate size of a result.
	Domain  string   // Failure domain where the work is done best; may be empty.
	// Crossing is the number of bytes that cross between failure domains if the
	// work is done elsewhere.
	Crossing int64
	// Target is the time at which the whole request should be answered, and
	// Deadline the time after which nobody waits.
	Target   time.Time
	Deadline time.Time
	// Rest is the time that the request needs after this stage.
	Rest     time.Duration
	Priority int // Zero is the most urgent.
}

// Piece is one item of a call.
type Piece struct {
	Request string
	Stage   int
	Index   int
	Timeout time.Duration // Time after which nobody waits.
	Key     string
	Inputs  []string
}

// Reason says why a piece has no result.
type Reason int

// The reasons.
const (
	// Failed means that the target could not make the result.
	Failed Reason = iota
	// Expired means that the piece's time was over before its turn.
	Expired
	// InputMissing means that an input no longer exists.
	InputMissing
	// NoCapacity means that the target has no memory for the result.
	NoCapacity
)

// Result is the outcome of a piece: a handle, or the reason for its absence.
type Result struct {
	Handle string
	Reason Reason
}

// Runner calls targets that work on pieces.
type Runner interface {
	// Run has a target work on pieces and returns their results in order. The
	// error says whether the call may have run.
	Run(ctx context.Context, target site.Target, pieces []Piece) ([]Result, error)
	// Free gives results up.
	Release(ctx context.Context, target site.Target, handles []string) error
	// Room returns the free memory for results in bytes.
	FreeCapacity(ctx context.Context, target site.Target) (int64, error)
}
