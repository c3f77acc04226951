package note

import "time"

// Config is the configuration at one revision.
type Config struct {
	Revision int64    `json:"revision"`
	NoteID   string   `json:"note_id"`
	Sections Sections `json:"sections"`
}

// WithSections returns a copy that holds other sections.
func (c Config) WithSections(sections Sections) Config {
	c.Sections = sections
	return c
}

// WithRevision returns a copy under another revision and note identifier.
func (c Config) WithRevision(revision int64, noteID string) Config {
	c.Revision = revision
	c.NoteID = noteID
	return c
}

// Sections holds the objects of a configuration by kind and name.
type Sections struct {
	Domains    map[string]FailureDomain `json:"domains,omitempty"`
	Services   map[string]Service       `json:"services,omitempty"`
	Targets    map[string]Target        `json:"targets,omitempty"`
	Pipelines  map[string]Pipeline      `json:"pipelines,omitempty"`
	Classes    map[string]Class         `json:"classes,omitempty"`
	Accounts   map[string]ClientAccount `json:"accounts,omitempty"`
	Objectives map[string]Objective     `json:"objectives,omitempty"`
	Orders     map[string]EngineOrder   `json:"orders,omitempty"`
	Limits     map[string]Limits        `json:"limits,omitempty"` // The only name is "system".
	Routes     map[string]Route         `json:"routes,omitempty"`
}

// State says whether an object takes new work.
type State int

// The states of failure domains and targets.
const (
	// InService means that new work is allowed.
	InService State = iota
	// OutOfService means that a failure domain gets no new work.
	OutOfService
	// Draining means that a target finishes its work and gets no more.
	Draining
)

// FailureDomain is a set of VMs and targets that fail together.
type FailureDomain struct {
	Region string `json:"region,omitempty"`
	State  State  `json:"state"`
	// DelayMS is the one-way delay to other failure domains in milliseconds.
	DelayMS float64 `json:"delay_ms,omitempty"`
}

// StageKind says what a stage does.
type StageKind int

// The kinds of stage.
const (
	// Plain calls a plain service.
	Plain StageKind = iota
	// Encode computes an embedding.
	Encode
	// Retrieve searches documents.
	Retrieve
	// Rerank orders documents.
	Rerank
	// Generate runs a language model.
	Generate
)

// Service is a set of interchangeable targets.
type Service struct {
	Kind  StageKind `json:"kind"`
	Model string    `json:"model,omitempty"`
	// ColdLimit is the number of calls that a target in cold start bears.
	ColdLimit int `json:"cold_limit"`
	// WarmLimit is the largest number of calls that a warm target gets.
	WarmLimit int `json:"warm_limit"`
	// TypicalMS is the usual time of one call in milliseconds, used before
	// the first calls have been measured.
	TypicalMS int64 `json:"typical_ms"`
	// WarmUpCalls is the number of answers after which a target counts as warm.
	WarmUpCalls int `json:"warm_up_calls,omitempty"`
	// IdleColdMS is the idle time after which a target counts as cold again;
	// zero means never.
	IdleColdMS int64 `json:"idle_cold_ms,omitempty"`
	// RefusesOldFences says that targets refuse an order with an old fencing number.
	RefusesOldFences bool `json:"refuses_old_fences,omitempty"`
	// Batch is set if the targets work on pieces of stages.
	Batch *BatchLimits `json:"batch,omitempty"`
}

// TypicalLatency returns the usual time of one call.
func (s Service) TypicalLatency() time.Duration {
	return time.Duration(s.TypicalMS) * time.Millisecond
}

// Target is one back end that runs stage calls.
type Target struct {
	Service string `json:"service"`
	Domain  string `json:"domain"`
	Address string `json:"address"` // IP number and port.
	State   State  `json:"state"`
}

// Stage is one step of a pipeline.
type Stage struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Idempotent says that the call may be repeated.
	Idempotent bool `json:"idempotent"`
	// MaxTokens bounds the output of a generate stage.
	MaxTokens int `json:"max_tokens,omitempty"`
}

// Pipeline is a sequence of stages that callers name.
type Pipeline struct {
	Class  string  `json:"class"`
	Stages []Stage `json:"stages"`
	// DeadlineMS is used where the caller names no deadline, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
}

// Idempotent reports whether every stage may be repeated.
func (p Pipeline) Idempotent() bool {
	for _, s := range p.Stages {
		if !s.Idempotent {
			return false
		}
	}
	return true
}

// Deadline returns the time a request has where the caller names none.
func (p Pipeline) Deadline() time.Duration {
	return time.Duration(p.DeadlineMS) * time.Millisecond
}

// Class is a kind of request with a priority.
type Class struct {
	// Priority orders classes; a higher number goes first.
	Priority int `json:"priority"`
	// Share is the guaranteed part of a busy pool, from 0 to 1.
	Share float64 `json:"share"`
	// MustFinish says that accepted work is completed after the caller has left.
	MustFinish bool `json:"must_finish,omitempty"`
}

// ClientAccount is a customer that sends requests.
type ClientAccount struct {
	// Weight is the account's part of a busy pool relative to other accounts.
	Weight float64 `json:"weight"`
	// KeyHash is the SHA-256 of the account's key in hexadecimal; empty means
	// that the name alone is enough.
	KeyHash string `json:"key_hash,omitempty"`
}

// Objective is a service-level objective of a pipeline or class.
type Objective struct {
	Pipeline string `json:"pipeline,omitempty"`
	Class    string `json:"class,omitempty"`
	// Attainment is the share of requests that are whole and in time, from 0 to 1.
	Attainment float64 `json:"attainment"`
	// LatencyMS bounds the time of a good answer; zero means the deadline.
	LatencyMS int64 `json:"latency_ms,omitempty"`
}

// OrderKind says what an engine is ordered to do.
type OrderKind int

// The kinds of engine order.
const (
	// LoadAdapter loads an adapter.
	LoadAdapter OrderKind = iota
	// UnloadAdapter unloads an adapter.
	UnloadAdapter
	// LoadModel loads a model or a version of it.
	LoadModel
	// ChangeRole changes the role of an engine.
	ChangeRole
)

// EngineOrder asks all targets of a service, or one, for a change.
type EngineOrder struct {
	Kind    OrderKind `json:"kind"`
	Service string    `json:"service"`
	Target  string    `json:"target,omitempty"` // Empty means every target of the service.
	Subject string    `json:"subject"`          // Model, adapter or role.
	Version string    `json:"version,omitempty"`
}

// Limits holds the bounds that apply to the system as a whole.
type Limits struct {
	MaxBodyBytes int `json:"max_body_bytes"`
	// RetentionMS is the time for which non-idempotent results are kept.
	RetentionMS int64 `json:"retention_ms"`
	// ClockSkewMS is the allowed lead of an idempotency key's time.
	ClockSkewMS int64 `json:"clock_skew_ms"`
	// RetryShare bounds internal retries as a share of first attempts.
	RetryShare float64 `json:"retry_share"`
	// StoreCallsPerSecond is the store budget of the whole fleet.
	StoreCallsPerSecond int `json:"store_calls_per_second"`
	// LedgerShards is the number of journal values.
	LedgerShards int `json:"ledger_shards"`
	// WeightLoadsPerMinute paces loads from the weight store in the fleet.
	WeightLoadsPerMinute int `json:"weight_loads_per_minute"`
}

// Limits returns the system limits, with defaults for absent fields.
func (c Config) Limits() Limits {
	l := c.Sections.Limits["system"]
	l.MaxBodyBytes = withDefault(l.MaxBodyBytes, 1<<20)
	l.RetentionMS = withDefault(l.RetentionMS, 10*time.Minute.Milliseconds())
	l.ClockSkewMS = withDefault(l.ClockSkewMS, 5*time.Second.Milliseconds())
	l.RetryShare = withDefault(l.RetryShare, 0.1)
	l.StoreCallsPerSecond = withDefault(l.StoreCallsPerSecond, 200)
	l.LedgerShards = withDefault(l.LedgerShards, 2)
	l.WeightLoadsPerMinute = withDefault(l.WeightLoadsPerMinute, 12)
	return l
}

func withDefault[T int | int64 | float64](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}
