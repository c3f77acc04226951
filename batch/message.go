package batch

import (
	"context"
	"time"

	"bergamotworks/site"
)

// Work is the work of one stage of one request: a number of pieces. It is
// sent between nodes as JSON under the Go names of its fields, which therefore
// must not change.
type Work struct {
	Service string
	Request string   // ID of the client's request.
	Stage   int      // Index of the stage in its route.
	Pieces  int      // Number of pieces.
	Key     string   // Input of a piece that reads no results.
	Inputs  []string // Handles of the results that every piece reads.
	Bytes   int64    // Approximate size of one result in bytes.
	Domain  string   // Preferred failure domain; empty if there is none.
	// Crossing is the number of bytes that are transferred between failure
	// domains if the pieces are processed outside Domain.
	Crossing int64
	// Target is the time by which the response to the whole request should be
	// sent (the latency target). After Deadline the result is of no use to the client.
	Target   time.Time
	Deadline time.Time
	// Rest is the estimated time that the request needs after this stage.
	Rest     time.Duration
	Priority int // Lower is more urgent.
	// Account is the client account, empty if there is none, and Weight the number of
	// requests that this one stands for; see [admit.Decision.Weight]. Nodes that do not
	// admit by priority neither send nor read them.
	Account string  `json:",omitempty"`
	Weight  float64 `json:",omitempty"`
}

// Piece is one work item of a stage, as it is sent to a target.
type Piece struct {
	Request string
	Stage   int
	Index   int
	Timeout time.Duration // Time until the deadline of the request.
	Key     string
	Inputs  []string
}

// Reason says why a piece has no result.
type Reason int

// Reasons for a missing result.
const (
	// Failed means that the target could not process the piece.
	Failed Reason = iota // failed
	// Expired means that the deadline passed before the target started the
	// piece.
	Expired // late
	// InputMissing means that an input no longer exists.
	InputMissing // gone
	// NoCapacity means that the target has no memory left for the result.
	NoCapacity // room
)

// Result is the outcome of a piece. Handle identifies the result at its
// target; if it is empty, Reason says why there is no result.
type Result struct {
	Handle string
	Reason Reason
}

// Runner sends requests to targets that process pieces.
type Runner interface {
	// Run sends pieces to a target and returns their results in the same
	// order. The verdict of the error says whether the target may have
	// processed them.
	Run(ctx context.Context, target site.Target, pieces []Piece) ([]Result, error)
	// Release deletes results at a target.
	Release(ctx context.Context, target site.Target, handles []string) error
	// FreeCapacity returns the memory in bytes that a target has left for
	// results.
	FreeCapacity(ctx context.Context, target site.Target) (int64, error)
}
