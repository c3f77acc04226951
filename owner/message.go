package owner

import (
	"encoding/json"
	"time"

	"bergamotworks/engine"
	"bergamotworks/fault"
	"bergamotworks/pool"
)

// Names of the methods that a node serves to its peers for this package.
const (
	MethodExecute  = "owner.execute"
	MethodHandover = "owner.handover"
)

// StageCall asks the owner of a pool to run one attempt at a stage.
type StageCall struct {
	Pool string    `json:"pool"`
	Call pool.Call `json:"call"`
	// RequestDeadline is the deadline of the whole request, at which an idempotent
	// call ends; other calls end lateResultGrace later. Call.Deadline is earlier, to
	// leave time for later stages, and is used for admission. A zero
	// RequestDeadline is replaced by Call.Deadline.
	RequestDeadline time.Time `json:"limit"`
	// The fields from Input to ResumeTokens are those of [engine.Call]. Priority is
	// that of the request's class; higher is more urgent.
	Input          json.RawMessage `json:"input"`
	Previous       json.RawMessage `json:"previous,omitempty"`
	IdempotencyKey string          `json:"idempotency_key,omitempty"`
	Priority       int             `json:"priority,omitempty"`
	MaxTokens      int             `json:"max_tokens,omitempty"`
	Resume         string          `json:"resume,omitempty"`
	ResumeTokens   int             `json:"resume_tokens,omitempty"`
	// Stream says that the response is sent in chunks.
	Stream bool `json:"stream,omitempty"`
}

// StageResponse is the outcome of an attempt. Fault is nil if the attempt
// succeeded. Cause classifies a failure of the call to the target. Times are in
// milliseconds.
type StageResponse struct {
	Fault        *fault.Error    `json:"fault,omitempty"`
	Cause        engine.Cause    `json:"cause,omitempty"`
	Output       json.RawMessage `json:"output,omitempty"`
	Tokens       int             `json:"tokens,omitempty"`
	Target       string          `json:"target,omitempty"` // Empty if the call was not dispatched.
	Domain       string          `json:"domain,omitempty"`
	QueueMS      float64         `json:"queue_ms"`
	ServiceMS    float64         `json:"service_ms"`
	FirstTokenMS float64         `json:"first_token_ms,omitempty"`
	// Summary is the pool's state after the attempt, nil if this node does not
	// own the pool.
	Summary *pool.Summary `json:"summary,omitempty"`
}

// Chunk is a part of a streamed response. Position is the index of its first
// token in the whole response, from 0.
type Chunk struct {
	Position int    `json:"position"`
	Text     string `json:"text"`
}

// HandoverRequest sends the state of a pool to its next owner.
type HandoverRequest struct {
	State pool.Handover `json:"state"`
}

// HandoverResponse acknowledges a [HandoverRequest].
type HandoverResponse struct{}
