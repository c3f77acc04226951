package engine

import (
	"encoding/json"
	"time"

	"bergamotworks/note"
)

// Call is one stage call to one target.
type Call struct {
	Target  string // Name of the target, for logs.
	Address string // IP number and port.
	Kind    note.StageKind
	// Attempt identifies this dispatch. The target returns it with its answer.
	Attempt string
	// IdempotencyKey is passed on with non-idempotent calls.
	IdempotencyKey string
	Idempotent     bool

	Input    json.RawMessage
	Previous json.RawMessage // Output of the stage before; may be empty.

	// The fields below are for model engines only.

	Model     string
	Prompt    string // Built by [Prompt] if empty.
	MaxTokens int
	Priority  int
	// Resume is the text that another target has already generated, and
	// ResumeTokens the number of its tokens. The answer starts with it.
	Resume       string
	ResumeTokens int

	// Deadline ends the call; zero means no deadline.
	Deadline time.Time
	// FirstByteTimeout bounds the wait for the first byte of the answer. Zero
	// means the client's limit.
	FirstByteTimeout time.Duration
}

// Chunk is a part of a generated answer.
type Chunk struct {
	Position int // Index of the token from 0 over the whole answer.
	Text     string
}

// Response is the whole result of a call.
type Response struct {
	// Output is the result for the next stage. For a model engine it is an
	// object with the member "text".
	Output json.RawMessage
	// Text is the generated text, the resumed part included.
	Text   string
	Tokens int // Number of generated tokens, the resumed ones included.
	// FirstToken is the time from the start of the call to its first byte.
	FirstToken time.Duration
	Latency    time.Duration
}

// generated reports whether the resumed text is already the whole answer.
func (c Call) generated() bool {
	return c.Kind == note.Generate && c.ResumeTokens > 0 && c.ResumeTokens >= c.MaxTokens
}

// TextOutput returns the output of a model engine that generated the text.
func TextOutput(text string) json.RawMessage {
	output, _ := json.Marshal(textOutput{Text: text}) // A string always encodes.
	return output
}

type textOutput struct {
	Text string `json:"text"`
}
