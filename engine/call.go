package engine

import (
	"encoding/json"
	"time"

	"bergamotworks/note"
)

// Call is the call of one stage to one target.
type Call struct {
	Target  string // Name of the target, for logs and errors.
	Address string // IP:port.
	// Kind is the kind of the stage. A target is a model engine if it is
	// note.Generate.
	Kind note.StageKind
	// Attempt is the ID of this attempt at the call, which must not be empty. The
	// target repeats it in its response.
	Attempt string
	// IdempotencyKey identifies the operation over all its attempts. It is sent with
	// non-idempotent calls only; may be empty.
	IdempotencyKey string
	Idempotent     bool

	Input    json.RawMessage
	Previous json.RawMessage // Output of the previous stage; may be empty.

	// The fields below are for model engines only.

	Model     string
	Prompt    string // Built by [Prompt] if empty.
	MaxTokens int
	Priority  int // Priority of the request's class; higher goes first.
	// Resume is the text that another target has already generated, and
	// ResumeTokens its number of tokens. The text of the response starts with it.
	Resume       string
	ResumeTokens int

	// Deadline ends the call; zero means no deadline.
	Deadline time.Time
	// FirstByteTimeout replaces the client's FirstByteTimeout unless it is zero.
	FirstByteTimeout time.Duration
}

// Chunk is one token of generated text.
type Chunk struct {
	Position int // Index of the token in the whole text, from 0.
	Text     string
}

// Response is the complete result of a call.
type Response struct {
	// Output is the input of the next stage. For a model engine it is an object
	// with the member "text".
	Output json.RawMessage
	// Text is the generated text, including the resumed part.
	Text   string
	Tokens int // Number of generated tokens, including the resumed ones.
	// FirstToken is the time from the start of the call to its first token or,
	// unless the call is to a model engine, to the header of its response.
	// FirstToken and Latency are zero if the resumed text was already complete, so
	// that the call was not sent.
	FirstToken time.Duration
	Latency    time.Duration // From the start of the call to the end of its response.
}

// complete reports whether the resumed text already has all tokens of the call.
func (c Call) complete() bool {
	return c.Kind == note.Generate && c.ResumeTokens > 0 && c.ResumeTokens >= c.MaxTokens
}

// TextOutput returns the [Response.Output] of a model engine that generated the
// text.
func TextOutput(text string) json.RawMessage {
	output, _ := json.Marshal(textOutput{Text: text}) // Encoding a string never fails.
	return output
}

type textOutput struct {
	Text string `json:"text"`
}
