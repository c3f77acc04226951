package site

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated of a route's requests.
type Kind int

// The kinds of route.
const (
	// NonIdempotent requests run once at most.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by server-sent events. They run once at
	// most, unless the route says that they may be resumed.
	Stream
)

// Route leads requests of one host and path prefix to a service.
type Route struct {
	Name          string        `json:"name"`
	Host          string        `json:"host"`
	Prefix        string        `json:"prefix"` // Begins and ends with a slash.
	Kind          Kind          `json:"kind"`
	Timeout       time.Duration `json:"timeout_ns"` // Longest time that a request is kept waiting.
	LatencyTarget time.Duration `json:"target_ns"`  // Latency target.
	MaxEventGap   time.Duration `json:"gap_ns"`     // Longest pause between two events of a stream.
	// Patience is the time for which callers wait for the first event of a stream;
	// zero means until their deadline.
	FirstEventTimeout time.Duration `json:"patience_ns"`
	Priority          int           `json:"priority"` // Zero is the most urgent.
	MaxAttempts       int           `json:"attempts"` // Targets that one request may be sent to, at most.
	Backends          []Backend     `json:"backends"`
	Stages            []Stage       `json:"stages,omitempty"`
	Public            bool          `json:"public,omitempty"`    // No client account is needed.
	Resumable         bool          `json:"resumable,omitempty"` // A stream may go on at another target.
	Affinity          bool          `json:"affinity,omitempty"`  // Requests declare the parts of their prompts.
}

// Backend is a service that takes a share of a route's requests.
type Backend struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Stage is work in pieces that is done before a request runs.
type Stage struct {
	Service     string `json:"service"`
	After       []int  `json:"after,omitempty"` // Stages whose results this one reads.
	ResultBytes int64  `json:"bytes"`           // Approximate size of a result.
}

// Service is a group of targets that do the same work.
type Service struct {
	Name     string       `json:"name"`
	ColdRate float64      `json:"cold_rate"`       // Requests per second that a cold target bears.
	Batch    *BatchLimits `json:"batch,omitempty"` // Set if the targets work on pieces.
}

// BatchLimits says how one target of a service works on pieces.
type BatchLimits struct {
	Slots               int           `json:"slots"`        // Calls in progress at once.
	Size                int           `json:"size"`         // Pieces in one call.
	CallTime            time.Duration `json:"call_ns"`      // Time for a call of any size.
	PieceTime           time.Duration `json:"piece_ns"`     // Approximate time for a piece.
	ResultCapacityBytes int64         `json:"room_bytes"`   // Memory for results.
	Retention           time.Duration `json:"retention_ns"` // Time for which a result is kept.
}

// Account is a client account.
type Account struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
	// KeyHashes are further keys, as the SHA-256 of each in hexadecimal.
	KeyHashes []string `json:"key_hashes,omitempty"`
	Priority  *int     `json:"priority,omitempty"` // Goes before the route's if set.
}

// Limits bounds what a caller may send.
type Limits struct {
	HeaderBytes   int           `json:"header_bytes"`
	BodyBytes     int           `json:"body_bytes"`
	HeaderTimeout time.Duration `json:"header_timeout_ns"`
	IdleTimeout   time.Duration `json:"idle_timeout_ns"`
}

// Config is one version of the configuration. Use [NewConfig].
type Config struct {
	Version  int64     `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Accounts []Account `json:"accounts"`
	Limits   Limits    `json:"limits"`

	byHost    map[string][]Route // Longest prefix first.
	byService map[string]Service
	byKey     map[string]Account
	byKeyHash map[string]Account
}

// NewConfig returns the configuration with its indexes built.
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
	c.byKey = make(map[string]Account)
	c.byKeyHash = make(map[string]Account)
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

// Loaded reports whether there is a configuration.
func (c Config) Loaded() bool { return c.byHost != nil }

// Route returns the route with the longest prefix that begins the path.
func (c Config) Route(host, path string) (Route, bool) {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Service returns the service with the name.
func (c Config) Service(name string) (Service, bool) {
	s, ok := c.byService[name]
	return s, ok
}

// Account returns the client account that holds the key.
func (c Config) Account(key string) (Account, bool) {
	if a, ok := c.byKey[key]; ok || len(c.byKeyHash) == 0 {
		return a, ok
	}
	sum := sha256.Sum256([]byte(key))
	a, ok := c.byKeyHash[hex.EncodeToString(sum[:])]
	return a, ok
}

// SelectBackend returns the service for a draw, which is spread evenly over all
// uint64 values. It returns an empty name if the route has no backend.
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

// Retryable reports whether a request whose outcome is open may be sent
// again. A stream that may be resumed may be.
func (r Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// FinalStages returns the stages that no other stage follows, of those that have
// pieces.
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
