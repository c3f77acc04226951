package trial

import (
	"bytes"
	"embed"
	"encoding/json"
	"path"
	"strings"
	"time"

	"bergamotworks/fault"
	"bergamotworks/note"
)

//go:embed scripts/*.json
var embedded embed.FS

// Script describes a load test: the load and the events during it.
type Script struct {
	Name       string `json:"name"`
	Deployment string `json:"deployment"` // Name of a shipped release note.
	Seed       uint64 `json:"seed"`
	// WarmUpMS is the time in which the load rises. Requests sent during it are
	// not counted.
	WarmUpMS   int64 `json:"warm_up_ms"`
	DurationMS int64 `json:"duration_ms"` // Without the warm-up.
	// LoadShare is the offered load as a share of the targets' capacity.
	LoadShare float64 `json:"load_share"`
	// Mix has the weights of the pipelines; if it is empty, all are equal.
	Mix map[string]float64 `json:"mix,omitempty"`
	// StreamShare is the share of streaming requests among those to pipelines
	// that end with a generate stage.
	StreamShare float64 `json:"stream_share"`
	// DeadlineMS is the time from the first attempt of a request to its deadline,
	// which applies to all its retries. The timeout of its pipeline applies instead
	// if it is shorter.
	DeadlineMS int64   `json:"deadline_ms"`
	Clients    Clients `json:"callers"`
	Events     []Event `json:"events,omitempty"`
}

// Clients configures the behavior of the clients. They retry without delay, unless
// no node is ready, and with the same idempotency key, unless the request is that of
// a PoisonService event.
type Clients struct {
	// AttemptTimeoutMS is the time after which a client abandons an attempt and
	// retries; zero means the deadline.
	AttemptTimeoutMS int64 `json:"attempt_timeout_ms"`
	MaxRetries       int   `json:"max_retries"`
	// SwitchNode adds the number of the attempt to the position in the round robin
	// over the ready nodes, which every attempt of any client advances by one. Also
	// without it, a retry usually goes to another node.
	SwitchNode bool `json:"switch_node"`
}

// Action is the effect of an event.
type Action int

// Actions of an event.
const (
	// SetLoad changes the load share.
	SetLoad Action = iota // set_load
	// KillTarget crashes one target.
	KillTarget // kill_target
	// RestartTarget restarts one target as a new incarnation.
	RestartTarget // restart_target
	// KillService crashes all targets of a service.
	KillService // kill_service
	// RestartService restarts all targets of a service as new incarnations.
	RestartService // restart_service
	// TurnCold makes one target cold without a restart. Neither its load reports
	// nor its responses say so.
	TurnCold // turn_cold
	// SlowService makes all targets of a service slower by a factor.
	SlowService // slow_service
	// SilenceTarget stops all data on the open connections to one target
	// without closing them.
	SilenceTarget // silence_target
	// SilenceService does the same for all targets of a service.
	SilenceService // silence_service
	// PoisonService starts a client whose request crashes the service's targets.
	PoisonService // poison_service
	// DrainDomain drains a failure domain.
	DrainDomain // take_domain_out
	// RestoreDomain restores a drained failure domain.
	RestoreDomain // bring_domain_back
	// SetStoreFault injects the StoreFault of the event; StoreHealthy ends it.
	SetStoreFault // break_store
	// KillNode terminates a node without a shutdown.
	KillNode // kill_node
	// StopNode shuts a node down gracefully.
	StopNode // stop_node
	// RestartNode starts a node that was killed or stopped.
	RestartNode // restart_node
	// SubmitConflictingNotes submits two conflicting notes at the same time.
	SubmitConflictingNotes // race_operators
)

// Event is an action at a given time after the warm-up.
type Event struct {
	AtMS   int64  `json:"at_ms"`
	Action Action `json:"do"`
	// Kind selects the first service of this kind, by name.
	Kind note.StageKind `json:"kind"`
	// Index selects a node or, in the order of their names, a target of the
	// service, a failure domain or, for SubmitConflictingNotes, a client account.
	Index     int        `json:"index"`
	Factor    float64    `json:"factor,omitempty"`     // For SlowService: multiplies the time of each call.
	LoadShare float64    `json:"load_share,omitempty"` // For SetLoad; see Script.LoadShare.
	Store     StoreFault `json:"store"`                // For SetStoreFault.
}

// Names returns the names of the embedded scripts in ascending order.
func Names() []string {
	entries, _ := embedded.ReadDir("scripts") // The directory is embedded.
	var names []string
	for _, v := range entries {
		names = append(names, strings.TrimSuffix(v.Name(), path.Ext(v.Name())))
	}
	return names
}

// Embedded returns the embedded script of the given name. It returns an error of
// kind fault.NotFound if there is none.
func Embedded(name string) (Script, error) {
	text, err := embedded.ReadFile("scripts/" + name + ".json")
	if err != nil {
		return Script{}, fault.New(fault.NotFound, fault.NotRun, "no script %q", name)
	}
	return Decode(text)
}

// Decode decodes a script from JSON and validates it.
func Decode(text []byte) (Script, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	var s Script
	if err := decoder.Decode(&s); err != nil {
		return Script{}, fault.InvalidField("script", "%s", err)
	}
	return s, s.check()
}

// Limits of a script.
const (
	maxDuration  = 10 * time.Minute
	maxLoadShare = 10
	maxRetries   = 1000
)

func (s Script) check() error {
	switch {
	case s.DurationMS <= 0 || s.total() > maxDuration:
		return fault.InvalidField("duration_ms", "%d is not within 1 ms and %s", s.DurationMS, maxDuration)
	case s.WarmUpMS < 0:
		return fault.InvalidField("warm_up_ms", "%d is negative", s.WarmUpMS)
	case s.LoadShare <= 0 || s.LoadShare > maxLoadShare:
		return fault.InvalidField("load_share", "%g is not within 0 and %d", s.LoadShare, maxLoadShare)
	case s.DeadlineMS <= 0:
		return fault.InvalidField("deadline_ms", "%d is not positive", s.DeadlineMS)
	case s.Clients.MaxRetries < 0 || s.Clients.MaxRetries > maxRetries:
		return fault.InvalidField("callers.max_retries", "%d is not within 0 and %d", s.Clients.MaxRetries, maxRetries)
	}
	for _, v := range s.Events {
		if v.AtMS < 0 || v.AtMS > s.DurationMS {
			return fault.InvalidField("events.at_ms", "%d is outside the run", v.AtMS)
		}
	}
	return nil
}

func (s Script) total() time.Duration { return milliseconds(s.WarmUpMS + s.DurationMS) }

func milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }
