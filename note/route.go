package note

import (
	"fmt"
	"strings"

	"bergamotworks/fault"
	"bergamotworks/site"
)

const (
	maxPieceCalls  = 4096
	maxResultBytes = int64(1) << 40
	maxAttempts    = 16
)

// Route leads opaque requests of one host and path prefix to a service. Their
// bodies and answers are passed on unread.
type Route struct {
	Host    string    `json:"host"`
	Prefix  string    `json:"prefix"` // Begins and ends with a slash.
	Service string    `json:"service"`
	Kind    site.Kind `json:"kind"`
	Class   string    `json:"class"`
	// DeadlineMS is the longest time that a request is kept waiting, in
	// milliseconds, and TargetMS its latency target; zero means the same.
	DeadlineMS      int64 `json:"deadline_ms"`
	LatencyTargetMS int64 `json:"target_ms,omitempty"`
	// GapMS is the longest pause between two events of a stream in
	// milliseconds; zero means any.
	MaxEventGapMS int64 `json:"gap_ms,omitempty"`
	// Attempts is the number of targets that one request may be sent to; zero
	// means 3.
	MaxAttempts int `json:"attempts,omitempty"`
	// Resumable says that a stream may go on at another target.
	Resumable bool `json:"resumable,omitempty"`
	// Affinity says that requests declare the parts of their prompts.
	Affinity bool         `json:"affinity,omitempty"`
	Stages   []RouteStage `json:"stages,omitempty"`
}

// RouteStage is work in pieces that is done before a request runs.
type RouteStage struct {
	Service     string `json:"service"`
	After       []int  `json:"after,omitempty"` // Earlier stages whose results this one reads.
	ResultBytes int64  `json:"bytes"`           // Approximate size of a result.
}

// BatchLimits says how one target of a service works on pieces.
type BatchLimits struct {
	Slots               int   `json:"slots"`        // Calls in progress at once.
	Size                int   `json:"size"`         // Pieces in one call.
	CallMS              int64 `json:"call_ms"`      // Time for a call of any size, in milliseconds.
	PieceMS             int64 `json:"piece_ms"`     // Approximate time for a piece, in milliseconds.
	ResultCapacityBytes int64 `json:"room_bytes"`   // Memory for results.
	RetentionMS         int64 `json:"retention_ms"` // Time for which a result is kept, in milliseconds.
}

func (b BatchLimits) check(path string) error {
	return first(
		within(join(path, "slots"), b.Slots, 1, maxPieceCalls),
		within(join(path, "size"), b.Size, 1, maxPieceCalls),
		within(join(path, "call_ms"), b.CallMS, 0, maxDeadlineMS),
		within(join(path, "piece_ms"), b.PieceMS, 0, maxDeadlineMS),
		within(join(path, "room_bytes"), b.ResultCapacityBytes, 1, maxResultBytes),
		within(join(path, "retention_ms"), b.RetentionMS, 1, maxDeadlineMS),
	)
}

func (s Sections) checkRoute(path string, r Route) error {
	if r.Host == "" || strings.ContainsAny(r.Host, "/: ") {
		return fault.InvalidField(join(path, "host"), "%q is no host name", r.Host)
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fault.InvalidField(join(path, "prefix"), "%q does not begin and end with a slash", r.Prefix)
	}
	if !r.Kind.IsAKind() {
		return fault.InvalidField(join(path, "kind"), "unknown kind")
	}
	if r.Resumable && r.Kind != site.Stream {
		return fault.InvalidField(join(path, "resumable"), "only for a stream")
	}
	if err := first(
		known(join(path, "service"), "service", r.Service, s.Services),
		known(join(path, "class"), "class", r.Class, s.Classes),
		within(join(path, "deadline_ms"), r.DeadlineMS, 1, maxDeadlineMS),
		within(join(path, "target_ms"), r.LatencyTargetMS, 0, r.DeadlineMS),
		within(join(path, "gap_ms"), r.MaxEventGapMS, 0, maxDeadlineMS),
		within(join(path, "attempts"), r.MaxAttempts, 0, maxAttempts),
		within(join(path, "stages"), len(r.Stages), 0, maxStages),
	); err != nil {
		return err
	}
	if s.Services[r.Service].Batch != nil {
		return fault.InvalidField(join(path, "service"), "service %q works on pieces only", r.Service)
	}
	for i, stage := range r.Stages {
		if err := s.checkRouteStage(fmt.Sprintf("%s.stages[%d]", path, i), i, stage); err != nil {
			return err
		}
	}
	return nil
}

func (s Sections) checkRouteStage(path string, index int, stage RouteStage) error {
	if err := first(
		known(join(path, "service"), "service", stage.Service, s.Services),
		within(join(path, "bytes"), stage.ResultBytes, 0, maxResultBytes),
	); err != nil {
		return err
	}
	if s.Services[stage.Service].Batch == nil {
		return fault.InvalidField(join(path, "service"), "service %q does not work on pieces", stage.Service)
	}
	for i, a := range stage.After {
		if err := within(fmt.Sprintf("%s.after[%d]", path, i), a, 0, index-1); err != nil {
			return err
		}
	}
	return nil
}

// checkPlaces finds two routes with one host and prefix.
func (s Sections) checkPlaces() error {
	owners := make(map[string]string)
	for _, name := range sortedNames(s.Routes) {
		place := s.Routes[name].Host + s.Routes[name].Prefix
		if owner, ok := owners[place]; ok {
			return fault.InvalidField("routes."+name+".prefix", "route %s has the same host and prefix", owner)
		}
		owners[place] = name
	}
	return nil
}
