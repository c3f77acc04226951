package flow

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Request is a caller's request after all its fields have been checked.
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

// Fingerprint hashes a pipeline's name and a compact input. It is the same
// whatever account, key or header a caller uses.
func Fingerprint(pipeline string, input []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(pipeline)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(input)
	return d.Sum64()
}

// Chunk is a part of a streamed answer. Positions count tokens from zero
// without a gap.
type Chunk struct {
	Position int    `json:"position"`
	Text     string `json:"text"`
}

// Response is the whole answer to a request.
type Response struct {
	RequestID string          `json:"request_id"`
	Output    json.RawMessage `json:"output"`
	Stages    []StageReport   `json:"stages"`
}

// StageReport tells what one attempt at a stage cost.
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
	// Wasted says that the attempt did not contribute to the answer.
	Wasted bool `json:"wasted,omitempty"`
	// Recorded says that the result comes from the ledger.
	Recorded bool `json:"recorded,omitempty"`
}
