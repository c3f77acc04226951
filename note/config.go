package note

import "time"

// Config is the configuration at one revision.
type Config struct {
	Revision int64    `json:"revision"`
	NoteID   string   `json:"note_id"`
	Sections Sections `json:"sections"`
}

// WithSections returns a copy with other sections.
func (c Config) WithSections(sections Sections) Config {
	c.Sections = sections
	return c
}

// WithRevision returns a copy with another revision and note ID.
func (c Config) WithRevision(revision int64, noteID string) Config {
	c.Revision = revision
	c.NoteID = noteID
	return c
}

// Sections holds the objects of a configuration by section and name.
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

// State says whether a failure domain or target accepts new work.
type State int

// States of failure domains and targets.
const (
	// InService means that new work is accepted.
	InService State = iota // in_service
	// OutOfService means that a failure domain gets no new work.
	OutOfService // out_of_service
	// Draining means that a target finishes its calls and gets no new ones.
	Draining // leaving
)

// FailureDomain is a set of VMs and targets that can fail together.
type FailureDomain struct {
	Region string `json:"region,omitempty"`
	State  State  `json:"state"`
	// DelayMS is the one-way network delay to other failure domains in
	// milliseconds.
	DelayMS float64 `json:"delay_ms,omitempty"`
}

// StageKind is the kind of work that a stage does.
type StageKind int

// Kinds of stages.
const (
	// Plain calls a service of no special kind.
	Plain StageKind = iota
	// Encode computes an embedding.
	Encode
	// Retrieve searches documents.
	Retrieve
	// Rerank sorts documents by relevance.
	Rerank
	// Generate generates text with a language model.
	Generate
)

// Service is a set of interchangeable targets.
type Service struct {
	Kind  StageKind `json:"kind"`
	Model string    `json:"model,omitempty"`
	// ColdLimit is the maximum number of concurrent calls to a target in cold
	// start.
	ColdLimit int `json:"cold_limit"`
	// WarmLimit is the maximum number of concurrent calls to a warm target.
	WarmLimit int `json:"warm_limit"`
	// TypicalMS is the typical latency of one call in milliseconds. It is used
	// until the latencies of real calls are known.
	TypicalMS int64 `json:"typical_ms"`
	// WarmUpCalls is the number of fast responses after which a target is no
	// longer cold. Four times as many responses of any latency are enough too.
	WarmUpCalls int `json:"warm_up_calls,omitempty"`
	// IdleColdMS is the idle time in milliseconds after which a target counts
	// as cold again; zero means never.
	IdleColdMS int64 `json:"idle_cold_ms,omitempty"`
	// RejectsStaleTokens says that the targets reject an order with a stale
	// fencing token; others ignore the token.
	RejectsStaleTokens bool `json:"refuses_old_fences,omitempty"`
	// Batch is set if the targets process pieces of stages; it is nil
	// otherwise.
	Batch *BatchLimits `json:"batch,omitempty"`
}

// TypicalLatency returns the typical latency of one call.
func (s Service) TypicalLatency() time.Duration {
	return time.Duration(s.TypicalMS) * time.Millisecond
}

// Target is one backend process that runs calls of a service.
type Target struct {
	Service string `json:"service"`
	Domain  string `json:"domain"`
	Address string `json:"address"` // IP address and port.
	State   State  `json:"state"`
	// Version is that of the program or model that the target runs. It tells targets
	// apart in a rollout.
	Version string `json:"version,omitempty"`
}

// Stage is one step of a pipeline: a call to a service.
type Stage struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Idempotent says that a call may be repeated.
	Idempotent bool `json:"idempotent"`
	// MaxTokens bounds the output of a generate stage.
	MaxTokens int `json:"max_tokens,omitempty"`
}

// Pipeline is a sequence of stages that a request names.
type Pipeline struct {
	Class  string  `json:"class"`
	Stages []Stage `json:"stages"`
	// TimeoutMS is the time limit in milliseconds of a request without a
	// deadline of its own.
	TimeoutMS int64 `json:"deadline_ms"`
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

// Timeout returns the time limit of a request without a deadline of its own.
func (p Pipeline) Timeout() time.Duration {
	return time.Duration(p.TimeoutMS) * time.Millisecond
}

// Class is a class of requests with a common priority.
type Class struct {
	// Priority orders the classes; requests of a higher one go first. This is
	// the opposite of site.Route.Priority, where lower is more urgent.
	Priority int `json:"priority"`
	// Share is the guaranteed share of a pool's capacity under contention, from
	// 0 to 1.
	Share float64 `json:"share"`
	// MustFinish says that accepted requests are completed even if the client
	// disconnects.
	MustFinish bool `json:"must_finish,omitempty"`
}

// ClientAccount is a customer that sends requests.
type ClientAccount struct {
	// Weight is the account's share of a pool's capacity under contention,
	// relative to other accounts.
	Weight float64 `json:"weight"`
	// KeyHash is the SHA-256 of the account's API key in hexadecimal; if it is
	// empty, the name alone is sufficient.
	KeyHash string `json:"key_hash,omitempty"`
}

// Objective is a service-level objective of a pipeline or a class.
type Objective struct {
	Pipeline string `json:"pipeline,omitempty"`
	Class    string `json:"class,omitempty"`
	// Attainment is the fraction of requests that must get a complete response
	// in time, above 0 and below 1.
	Attainment float64 `json:"attainment"`
	// LatencyMS is the latency in milliseconds within which a request is in
	// time; zero means its deadline.
	LatencyMS int64 `json:"latency_ms,omitempty"`
}

// OrderKind is the kind of an order to an engine.
type OrderKind int

// Kinds of engine orders.
const (
	// LoadAdapter loads an adapter.
	LoadAdapter OrderKind = iota
	// UnloadAdapter unloads an adapter.
	UnloadAdapter
	// LoadModel loads a model or another version of it.
	LoadModel
	// ChangeRole changes the role of an engine.
	ChangeRole
)

// EngineOrder requests a change of one target of a service, or of all of them.
type EngineOrder struct {
	Kind    OrderKind `json:"kind"`
	Service string    `json:"service"`
	Target  string    `json:"target,omitempty"` // Empty means every target of the service.
	Subject string    `json:"subject"`          // Model, adapter or role.
	Version string    `json:"version,omitempty"`
}

// Limits holds the limits of the system as a whole. A zero field means its
// default; see [Config.Limits].
type Limits struct {
	MaxBodyBytes int `json:"max_body_bytes"`
	// RetentionMS is the time in milliseconds for which results of
	// non-idempotent requests are retained.
	RetentionMS int64 `json:"retention_ms"`
	// ClockSkewMS is how far in the future the time of an idempotency key may
	// be, in milliseconds.
	ClockSkewMS int64 `json:"clock_skew_ms"`
	// RetryRatio is the maximum ratio of internal retries to first attempts.
	RetryRatio float64 `json:"retry_share"`
	// StoreCallsPerSecond is the number of store calls per second allowed to
	// the whole fleet.
	StoreCallsPerSecond int `json:"store_calls_per_second"`
	// LedgerShards is the number of shards of the ledger's journal in the
	// store.
	LedgerShards int `json:"ledger_shards"`
	// WeightLoadsPerMinute is the rate limit of loads from the weight store for
	// the whole fleet.
	WeightLoadsPerMinute int `json:"weight_loads_per_minute"`
}

// Limits returns the system limits. Zero or absent fields have their defaults.
func (c Config) Limits() Limits {
	l := c.Sections.Limits["system"]
	l.MaxBodyBytes = withDefault(l.MaxBodyBytes, 1<<20)
	l.RetentionMS = withDefault(l.RetentionMS, 10*time.Minute.Milliseconds())
	l.ClockSkewMS = withDefault(l.ClockSkewMS, 5*time.Second.Milliseconds())
	l.RetryRatio = withDefault(l.RetryRatio, 0.1)
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
