package flow

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Request is a request of a client, with all fields validated.
type Request struct {
	ID           string          `json:"id"`
	Account      string          `json:"account"`
	Pipeline     string          `json:"pipeline"`
	Key          string          `json:"key,omitempty"` // Idempotency key.
	KeyCreatedAt time.Time       `json:"key_time,omitzero"`
	Input        json.RawMessage `json:"input"`
	Fingerprint  uint64          `json:"fingerprint"`
	Deadline     time.Time       `json:"deadline"`
	Stream       bool            `json:"stream,omitempty"`
}

// Fingerprint returns a hash of a pipeline's name and an input in compact JSON.
// It does not depend on the client account, the idempotency key or the headers.
func Fingerprint(pipeline string, input []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(pipeline)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(input)
	return d.Sum64()
}

// Chunk is one token of a streamed response. Positions count the tokens from
// zero without gaps.
type Chunk struct {
	Position int    `json:"position"`
	Text     string `json:"text"`
}

// Response is the complete response to a request.
type Response struct {
	RequestID string          `json:"request_id"`
	Output    json.RawMessage `json:"output"`
	Stages    []StageReport   `json:"stages"`
}

// StageReport describes what one attempt at a stage cost. QueueMS is the time in
// milliseconds from the arrival of the call at the pool's owner to its dispatch,
// ServiceMS that from the dispatch to the end of the call. FirstTokenMS is the time
// from the dispatch to the first token; see engine.Response.FirstToken.
type StageReport struct {
	Stage        string  `json:"stage"`
	Service      string  `json:"service"`
	Domain       string  `json:"domain,omitempty"`
	Target       string  `json:"target,omitempty"`
	Attempt      string  `json:"attempt,omitempty"`
	QueueMS      float64 `json:"queue_ms"`
	ServiceMS    float64 `json:"service_ms"`
	FirstTokenMS float64 `json:"first_token_ms,omitempty"`
	Tokens       int     `json:"tokens,omitempty"`
	// Wasted says that the attempt did not contribute to the response.
	Wasted bool `json:"wasted,omitempty"`
	// Recorded says that the result comes from the ledger and the stage was
	// not run for this request.
	Recorded bool `json:"recorded,omitempty"`
}
