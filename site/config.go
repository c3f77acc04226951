package site

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"
)

// Kind says whether requests of a route may be repeated.
type Kind int

// Kinds of route.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests have server-sent events as their response. They run at most
	// once, unless the route is resumable.
	Stream
)

// Route maps requests with a host and a path prefix to services.
type Route struct {
	Name          string        `json:"name"`
	Host          string        `json:"host"`
	Prefix        string        `json:"prefix"` // Begins and ends with a slash.
	Kind          Kind          `json:"kind"`
	Timeout       time.Duration `json:"timeout_ns"` // Maximum time that a client waits.
	LatencyTarget time.Duration `json:"target_ns"`  // Time in which the response should arrive.
	MaxEventGap   time.Duration `json:"gap_ns"`     // Expected maximum time between two events of a stream; not enforced, but may determine FirstEventTimeout.
	// FirstEventTimeout is how long clients wait for the first event of a
	// stream; zero means until their deadline.
	FirstEventTimeout time.Duration `json:"patience_ns"`
	Priority          int           `json:"priority"` // Lower is more urgent, unlike note.Class.Priority.
	MaxAttempts       int           `json:"attempts"` // Maximum number of attempts of one request that may have run; zero means 1.
	Backends          []Backend     `json:"backends"`
	Stages            []RouteStage  `json:"stages,omitempty"`
	Public            bool          `json:"public,omitempty"`    // No client account is needed.
	Resumable         bool          `json:"resumable,omitempty"` // A stream may be continued at another target.
	Affinity          bool          `json:"affinity,omitempty"`  // Requests declare the parts of their prompts.
}

// Backend is a service that gets a share of a route's requests, in proportion
// to its weight.
type Backend struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// RouteStage is preparatory work of a request, split into pieces, that is done
// before the request itself runs. A stage of a pipeline, in contrast, is one
// call.
type RouteStage struct {
	Service     string `json:"service"`
	After       []int  `json:"after,omitempty"` // Indexes of the earlier stages whose results this one reads.
	ResultBytes int64  `json:"bytes"`           // Approximate size of one result.
}

// Service is a group of targets that do the same work.
type Service struct {
	Name     string       `json:"name"`
	ColdRate float64      `json:"cold_rate"`       // Requests per second that a cold target can handle; cold means warming up.
	Batch    *BatchLimits `json:"batch,omitempty"` // Set if the targets process pieces.
	Engine   EngineLimits `json:"engine,omitzero"` // As far as the configuration states them.
}

// EngineLimits is what one target of a service holds at once. A zero field means that
// it is not known.
type EngineLimits struct {
	Slots        int   `json:"slots,omitempty"`         // Maximum number of running requests.
	MemoryTokens int64 `json:"memory_tokens,omitempty"` // Tokens of all requests that it holds; a target that holds more crashes.

	// Moves and Backups mean that targets can copy the memory of a run to another target:
	// when they are told to, and as it grows. TokenBytes is its size for each token,
	// LinkMbps the rate of a target's link in Mbit/s, and CopyRetention how long a copy is
	// kept that gets no further parts.
	Moves         bool          `json:"moves,omitempty"`
	Backups       bool          `json:"backups,omitempty"`
	TokenBytes    float64       `json:"token_bytes,omitempty"`
	LinkMbps      float64       `json:"link_mbps,omitempty"`
	CopyRetention time.Duration `json:"copy_retention_ns,omitempty"`
}

// BatchLimits describes how one target of a service processes batches of
// pieces.
type BatchLimits struct {
	Slots               int           `json:"slots"`        // Maximum number of concurrent calls.
	Size                int           `json:"size"`         // Maximum number of pieces in one call.
	CallTime            time.Duration `json:"call_ns"`      // Fixed time of a call.
	PieceTime           time.Duration `json:"piece_ns"`     // Approximate additional time for each piece.
	ResultCapacityBytes int64         `json:"room_bytes"`   // Memory for results.
	Retention           time.Duration `json:"retention_ns"` // Time after which a result expires.
}

// ClientAccount is a client account. A request belongs to the account if it
// carries one of the keys of the account.
type ClientAccount struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
	// KeyHashes holds the hexadecimal SHA-256 hashes of further keys.
	KeyHashes []string `json:"key_hashes,omitempty"`
	Priority  *int     `json:"priority,omitempty"` // Overrides the priority of the route if set; lower is more urgent.
}

// Limits bounds the size and duration of client requests. A zero field means
// the default of the server.
type Limits struct {
	HeaderBytes   int           `json:"header_bytes"` // Not enforced; the server's read buffer limits the header.
	BodyBytes     int           `json:"body_bytes"`
	HeaderTimeout time.Duration `json:"header_timeout_ns"` // From the first byte of a request to the end of its header.
	IdleTimeout   time.Duration `json:"idle_timeout_ns"`   // Wait for the first byte of a request.
}

// Config is one revision of the configuration. Values are made by [NewConfig],
// which builds the indexes for lookups.
type Config struct {
	Revision int64           `json:"version"`
	Routes   []Route         `json:"routes"`
	Services []Service       `json:"services"`
	Accounts []ClientAccount `json:"accounts"`
	// KeysRequired means that routes that are not public need a key even if there is no
	// account; with accounts they always do.
	KeysRequired bool   `json:"keys_required"`
	Limits       Limits `json:"limits"`

	byHost    map[string][]Route // Longest prefix first.
	byService map[string]Service
	byKey     map[string]ClientAccount
	byKeyHash map[string]ClientAccount
}

// NewConfig returns c with its indexes built.
func NewConfig(c Config) Config {
	c.byHost = make(map[string][]Route)
	for _, r := range c.Routes {
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, l := range c.byHost {
		slices.SortStableFunc(l, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	c.byService = make(map[string]Service)
	for _, s := range c.Services {
		c.byService[s.Name] = s
	}
	c.byKey = make(map[string]ClientAccount)
	c.byKeyHash = make(map[string]ClientAccount)
	for _, a := range c.Accounts {
		for _, k := range a.Keys {
			c.byKey[k] = a
		}
		for _, h := range a.KeyHashes {
			c.byKeyHash[h] = a
		}
	}
	return c
}

// Loaded reports whether the configuration was made by NewConfig; the zero
// value stands for a configuration that has not been read yet.
func (c Config) Loaded() bool { return c.byHost != nil }

// Route returns the route of the host with the longest matching prefix.
func (c Config) Route(host, path string) (Route, bool) {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Service returns the service with the given name.
func (c Config) Service(name string) (Service, bool) {
	s, ok := c.byService[name]
	return s, ok
}

// NeedsKey reports whether requests on routes that are not public need a key.
func (c Config) NeedsKey() bool { return c.KeysRequired || len(c.Accounts) > 0 }

// Account returns the client account that holds the given key. No account holds the
// empty one.
func (c Config) Account(key string) (ClientAccount, bool) {
	if key == "" {
		return ClientAccount{}, false
	}
	if a, ok := c.byKey[key]; ok || len(c.byKeyHash) == 0 {
		return a, ok
	}
	sum := sha256.Sum256([]byte(key))
	a, ok := c.byKeyHash[hex.EncodeToString(sum[:])]
	return a, ok
}

// SelectBackend returns the service of a backend selected by weight. The
// argument is a random number, uniformly distributed over all uint64 values.
// If no weight is positive, the result is the service of the first backend. It
// is empty if the route has no backend.
func (r Route) SelectBackend(draw uint64) string {
	total := 0
	for _, b := range r.Backends {
		total += max(b.Weight, 0)
	}
	if total == 0 {
		if len(r.Backends) > 0 {
			return r.Backends[0].Service
		}
		return ""
	}
	at := int(draw % uint64(total))
	for _, b := range r.Backends {
		if at -= max(b.Weight, 0); at < 0 {
			return b.Service
		}
	}
	return ""
}

// Retryable reports whether a request that may have run can be sent again.
// That holds for idempotent requests and for resumable streams.
func (r Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// FinalStages returns the indexes of the stages with pieces whose results no
// other stage with pieces reads. The request itself reads these. Counts holds
// the number of pieces of each stage of the route.
func (r Route) FinalStages(counts []int) []int {
	followed := make([]bool, len(r.Stages))
	for i, s := range r.Stages {
		if counts[i] == 0 {
			continue
		}
		for _, a := range s.After {
			followed[a] = true
		}
	}
	var final []int
	for i := range r.Stages {
		if counts[i] > 0 && !followed[i] {
			final = append(final, i)
		}
	}
	return final
}
