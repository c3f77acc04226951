package canary

import (
	"time"

	"bergamotworks/site"
)

// Phase is the phase of a rollout as its owner sees it.
type Phase int

// The phases of a rollout. The order matters: those before Complete are open, RolledBack is
// above Complete since it replaces it, and the zero value stands for no verdict.
const (
	// Waiting means that no target of the new version accepts requests yet.
	Waiting Phase = iota
	// Observing means that a limited share of the requests goes to the new version.
	Observing
	// Promoting means that the version is good and gets a growing share of the requests.
	Promoting
	// Complete means that all requests go to the new version.
	Complete
	// RolledBack means that the version is bad and gets no requests.
	RolledBack
	// Withdrawn means that the order has been removed or replaced.
	Withdrawn
)

// finalPhaseOf returns the phase of an order whose state is recorded as final. It reports
// false for one that is running.
func finalPhaseOf(s site.RolloutState) (Phase, bool) {
	switch s {
	case site.RolloutComplete:
		return Complete, true
	case site.RolloutRolledBack:
		return RolledBack, true
	}
	return Waiting, false
}

// Settings limit what a version that may be bad gets from all nodes together.
type Settings struct {
	Share        float64       // Largest share of a service's requests from the order to its deadline; zero disables rollouts.
	Slack        float64       // Further requests in that time.
	RollbackTime time.Duration // From the 50th bad response to the last request.
}

// Grant is the permission of an order's owner to send canary requests.
type Grant struct {
	Order    int64         `json:"order"` // site.Rollout.ID.
	Phase    Phase         `json:"phase"`
	Share    float64       `json:"share"`    // Largest share of a node's own requests that may be canary requests, from 0 to 1.
	ValidFor time.Duration `json:"valid_ns"` // From its receipt, at most GrantLifetime.
	// NextShare replaces Share after NextIn, if that is not zero, so that the shares of all
	// nodes change at the same time.
	NextShare float64       `json:"next_share,omitempty"`
	NextIn    time.Duration `json:"next_in_ns,omitempty"`
	// CompleteIn is the time until the order is complete at the latest, once all new requests
	// go to the new version; zero before.
	CompleteIn time.Duration `json:"complete_in_ns,omitempty"`
	// Allowance is the number of canary requests that this node may send beyond the
	// share since the order. The owner divides a part of the slack, since a node with
	// little traffic could otherwise send none.
	Allowance int `json:"allowance,omitempty"`
	// Excluded lists targets of the new version that get no canary requests while the
	// owner finds out whether only they fail. At most MaxExcluded.
	Excluded []string `json:"excluded,omitempty"`
}

// GrantLifetime is how long a grant is valid.
const GrantLifetime = 2 * time.Second

// BlameShare is the part of the allowed time that an attempt must have had for its target
// to be to blame if the time was not enough. The rest may have been spent in queues or on
// other targets.
const BlameShare = 0.5

// Outcome says how a request ended at a target.
type Outcome struct {
	Failed    bool
	FirstByte time.Duration // From sending the request to the first byte or event of the response; zero if there was none.
}

// LatencyBuckets is the number of buckets of a histogram of times to the first byte. Each
// bucket is twice as wide as the one before; the first one ends at LatencyUnit.
const (
	LatencyBuckets = 16
	LatencyUnit    = time.Millisecond
)

// MaxExcluded limits the excluded targets of a grant.
const MaxExcluded = 8

// Counts are the responses to requests since an order. The latencies are those of
// responses from targets that were not cold.
type Counts struct {
	Responses  int                 `json:"responses"`
	Failures   int                 `json:"failures"`
	Latency    [LatencyBuckets]int `json:"latency"`
	LogLatency float64             `json:"log_latency"` // Sum of the logarithms of the times to the first byte in LatencyUnit.
}

// Row holds the counts of one route at one target of the new version, or at all targets
// of other versions together.
type Row struct {
	Route  string `json:"route"`
	Target string `json:"target,omitempty"` // ID of a target of the new version; empty for those of other versions.
	Counts
}

// Report is what one node has seen since an order. Its counts only increase while the
// node runs.
type Report struct {
	Order    int64     `json:"order"` // site.Rollout.ID.
	Service  string    `json:"service"`
	VM       string    `json:"vm"`
	Started  time.Time `json:"started"` // Start of the node, which has forgotten earlier counts.
	Domain   string    `json:"domain"`  // Failure domain of the node.
	Sent     int       `json:"sent"`    // Requests sent to the service.
	Canaries int       `json:"canaries"`
	Rows     []Row     `json:"rows"` // At most MaxRows.
	// Age is the time since the node first saw the order. The highest one of all nodes
	// tells a new owner when the order was written.
	Age time.Duration `json:"age_ns"`
	// Phase, Share and Allowance are those of the last grant, with which a new owner
	// continues.
	Phase     Phase   `json:"phase"`
	Share     float64 `json:"share"`
	Allowance int     `json:"allowance,omitempty"`
	// OldRuns is the number of requests that run on targets of other versions. A node that
	// does not count them sends none.
	OldRuns *int `json:"old_runs,omitempty"`
	// Returned means that the version had the service's requests before the order, as
	// after an order that takes back another one.
	Returned bool `json:"returned,omitempty"`
}

// MaxRows limits the rows of a report.
const MaxRows = 128
