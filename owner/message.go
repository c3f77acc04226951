package owner

import (
	"encoding/json"
	"time"

	"bergamotworks/engine"
	"bergamotworks/fault"
	"bergamotworks/pool"
)

// The methods that a node registers for this package.
const (
	MethodExecute  = "owner.execute"
	MethodHandover = "owner.handover"
)

// StageCall asks the owner of a pool to run one attempt at a stage.
type StageCall struct {
	Pool string    `json:"pool"`
	Call pool.Call `json:"call"`
	// Limit is the deadline of the whole request, at which the target's work
	// ends. The deadline of Call leaves later stages their time and decides on
	// admission only.
	RequestDeadline time.Time       `json:"limit"`
	Input           json.RawMessage `json:"input"`
	Previous        json.RawMessage `json:"previous,omitempty"`
	IdempotencyKey  string          `json:"idempotency_key,omitempty"`
	Priority        int             `json:"priority,omitempty"`
	MaxTokens       int             `json:"max_tokens,omitempty"`
	Resume          string          `json:"resume,omitempty"`
	ResumeTokens    int             `json:"resume_tokens,omitempty"`
	Stream          bool            `json:"stream,omitempty"`
}

// StageResponse is the outcome of an attempt. Fault is nil if the attempt
// succeeded.
type StageResponse struct {
	Fault        *fault.Error    `json:"fault,omitempty"`
	Cause        engine.Cause    `json:"cause,omitempty"`
	Output       json.RawMessage `json:"output,omitempty"`
	Tokens       int             `json:"tokens,omitempty"`
	Target       string          `json:"target,omitempty"` // Empty if no target was tried.
	Domain       string          `json:"domain,omitempty"`
	QueueMS      float64         `json:"queue_ms"`
	ServiceMS    float64         `json:"service_ms"`
	FirstTokenMS float64         `json:"first_token_ms,omitempty"`
	// Summary is the pool's state after the attempt, nil if this node does not
	// own the pool.
	Summary *pool.Summary `json:"summary,omitempty"`
}

// Chunk is a part of a generated text.
type Chunk struct {
	Position int    `json:"position"`
	Text     string `json:"text"`
}

// HandoverRequest passes the state of a pool to its next owner.
type HandoverRequest struct {
	State pool.Handover `json:"state"`
}

// HandoverResponse says that the state was taken.
type HandoverResponse struct{}
