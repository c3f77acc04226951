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

// Script is an experiment: a load and the faults in its course.
type Script struct {
	Name       string `json:"name"`
	Deployment string `json:"deployment"` // Name of a shipped release note.
	Seed       uint64 `json:"seed"`
	// WarmUpMS is the time in which the load rises from zero; its requests are
	// not tallied.
	WarmUpMS   int64 `json:"warm_up_ms"`
	DurationMS int64 `json:"duration_ms"` // Without the warm-up.
	// LoadShare is the offered load as a share of the targets' capacity.
	LoadShare float64 `json:"load_share"`
	// Mix weighs the pipelines; absent means that all are equal.
	Mix map[string]float64 `json:"mix,omitempty"`
	// StreamShare is the share of generating requests that ask for a stream.
	StreamShare float64 `json:"stream_share"`
	// DeadlineMS bounds the deadline that callers name.
	DeadlineMS int64   `json:"deadline_ms"`
	Clients    Clients `json:"callers"`
	Events     []Event `json:"events,omitempty"`
}

// Clients says how client software behaves. It retries at once and without
// pause, with the same idempotency key.
type Clients struct {
	// AttemptTimeoutMS is the time after which a caller gives up an attempt and
	// repeats it; zero means the deadline.
	AttemptTimeoutMS int64 `json:"attempt_timeout_ms"`
	MaxRetries       int   `json:"max_retries"`
	// SwitchNode says that a repeat goes to another node.
	SwitchNode bool `json:"switch_node"`
}

// Action is what an event does.
type Action int

// The actions.
const (
	// SetLoad changes the load share.
	SetLoad Action = iota
	// KillTarget ends one target.
	KillTarget
	// RestartTarget begins a new life of one target.
	RestartTarget
	// KillService ends all targets of a service.
	KillService
	// RestartService begins new lives of all targets of a service.
	RestartService
	// TurnCold makes one target cold without warning.
	TurnCold
	// SlowService makes all targets of a service slower by a factor.
	SlowService
	// SilenceTarget makes the open connections to one target silent.
	SilenceTarget
	// SilenceService makes the open connections to a service silent.
	SilenceService
	// PoisonService starts a caller whose request crashes the service's targets.
	PoisonService
	// DrainDomain takes a failure domain out of service.
	DrainDomain
	// RestoreDomain brings a failure domain back into service.
	RestoreDomain
	// SetStoreFault changes the state of the store.
	SetStoreFault
	// KillNode ends a node at once.
	KillNode
	// StopNode ends a node gracefully.
	StopNode
	// RestartNode starts a node again.
	RestartNode
	// RaceOperators offers two conflicting notes at once.
	RaceOperators
)

// Event is one action at one time after the warm-up.
type Event struct {
	AtMS   int64  `json:"at_ms"`
	Action Action `json:"do"`
	// Kind picks the service by what it does.
	Kind note.StageKind `json:"kind"`
	// Index picks a target of the service, a failure domain or a node, in the
	// order of their names.
	Index     int        `json:"index"`
	Factor    float64    `json:"factor,omitempty"`
	LoadShare float64    `json:"load_share,omitempty"`
	Store     StoreFault `json:"store"`
}

// Names returns the names of the embedded scripts in order.
func Names() []string {
	entries, _ := embedded.ReadDir("scripts") // The directory is embedded.
	var names []string
	for _, v := range entries {
		names = append(names, strings.TrimSuffix(v.Name(), path.Ext(v.Name())))
	}
	return names
}

// Embedded returns an embedded script.
func Embedded(name string) (Script, error) {
	text, err := embedded.ReadFile("scripts/" + name + ".json")
	if err != nil {
		return Script{}, fault.New(fault.NotFound, fault.NotRun, "no script %q", name)
	}
	return Decode(text)
}

// Decode reads a script and checks it.
func Decode(text []byte) (Script, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	var s Script
	if err := decoder.Decode(&s); err != nil {
		return Script{}, fault.InvalidField("script", "%s", err)
	}
	return s, s.check()
}

// The bounds of a script.
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
