package note

import (
	"fmt"
	"strings"

	"bergamotworks/fault"
	"bergamotworks/site"
)

const (
	maxBatchCalls  = 4096 // Concurrent calls, and also pieces in one call.
	maxResultBytes = int64(1) << 40
	maxAttempts    = 16
)

// Route maps opaque requests for one host and path prefix to a service. Their
// bodies and responses are forwarded without interpretation.
type Route struct {
	Host    string    `json:"host"`
	Prefix  string    `json:"prefix"` // Begins and ends with a slash.
	Service string    `json:"service"`
	Kind    site.Kind `json:"kind"`
	Class   string    `json:"class"`
	// TimeoutMS is the maximum time that a client waits for the response.
	// LatencyTargetMS is the time in which the response should arrive; zero
	// means TimeoutMS. Both are in milliseconds.
	TimeoutMS       int64 `json:"deadline_ms"`
	LatencyTargetMS int64 `json:"target_ms,omitempty"`
	// MaxEventGapMS is the expected maximum time between two events of a
	// stream, in milliseconds; zero means that it is not stated. It is not
	// enforced.
	MaxEventGapMS int64 `json:"gap_ms,omitempty"`
	// MaxAttempts is the maximum number of attempts of a request that may have
	// run; zero means 3. Attempts that a target rejected do not count.
	MaxAttempts int `json:"attempts,omitempty"`
	// Resumable says that an interrupted stream may be resumed at another
	// target.
	Resumable bool `json:"resumable,omitempty"`
	// Affinity says that requests declare the parts of their prompts.
	Affinity bool         `json:"affinity,omitempty"`
	Stages   []RouteStage `json:"stages,omitempty"`
}

// RouteStage is preparatory work of a request that is split into pieces and
// done before the request itself runs.
type RouteStage struct {
	Service     string `json:"service"`
	After       []int  `json:"after,omitempty"` // Indexes of the earlier stages whose results this one reads.
	ResultBytes int64  `json:"bytes"`           // Approximate size of a result.
}

// BatchLimits says how a target of a service processes pieces. A piece is one
// work item of a stage.
type BatchLimits struct {
	Slots               int   `json:"slots"`        // Concurrent calls.
	Size                int   `json:"size"`         // Maximum number of pieces in one call.
	CallMS              int64 `json:"call_ms"`      // Time of a call regardless of its size, in milliseconds.
	PieceMS             int64 `json:"piece_ms"`     // Approximate additional time per piece, in milliseconds.
	ResultCapacityBytes int64 `json:"room_bytes"`   // Memory for results.
	RetentionMS         int64 `json:"retention_ms"` // Time for which a result is retained, in milliseconds.
}

func (b BatchLimits) check(path string) error {
	return firstError(
		checkRange(join(path, "slots"), b.Slots, 1, maxBatchCalls),
		checkRange(join(path, "size"), b.Size, 1, maxBatchCalls),
		checkRange(join(path, "call_ms"), b.CallMS, 0, maxDurationMS),
		checkRange(join(path, "piece_ms"), b.PieceMS, 0, maxDurationMS),
		checkRange(join(path, "room_bytes"), b.ResultCapacityBytes, 1, maxResultBytes),
		checkRange(join(path, "retention_ms"), b.RetentionMS, 1, maxDurationMS),
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
	if err := firstError(
		checkReference(join(path, "service"), "service", r.Service, s.Services),
		checkReference(join(path, "class"), "class", r.Class, s.Classes),
		checkRange(join(path, "deadline_ms"), r.TimeoutMS, 1, maxDurationMS),
		checkRange(join(path, "target_ms"), r.LatencyTargetMS, 0, r.TimeoutMS),
		checkRange(join(path, "gap_ms"), r.MaxEventGapMS, 0, maxDurationMS),
		checkRange(join(path, "attempts"), r.MaxAttempts, 0, maxAttempts),
		checkRange(join(path, "stages"), len(r.Stages), 0, maxStages),
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
	if err := firstError(
		checkReference(join(path, "service"), "service", stage.Service, s.Services),
		checkRange(join(path, "bytes"), stage.ResultBytes, 0, maxResultBytes),
	); err != nil {
		return err
	}
	if s.Services[stage.Service].Batch == nil {
		return fault.InvalidField(join(path, "service"), "service %q does not work on pieces", stage.Service)
	}
	for i, a := range stage.After {
		if err := checkRange(fmt.Sprintf("%s.after[%d]", path, i), a, 0, index-1); err != nil {
			return err
		}
	}
	return nil
}

// checkRouteConflicts returns an error if two routes have the same host and
// prefix.
func (s Sections) checkRouteConflicts() error {
	routes := make(map[string]string)
	for _, name := range sortedNames(s.Routes) {
		location := s.Routes[name].Host + s.Routes[name].Prefix
		if other, ok := routes[location]; ok {
			return fault.InvalidField("routes."+name+".prefix", "route %s has the same host and prefix", other)
		}
		routes[location] = name
	}
	return nil
}
