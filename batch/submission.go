package batch

import (
	"time"

	"bergamotworks/admit"
)

// submission is [Work] as sent between nodes. Since their clocks differ, it
// carries the remaining times instead of Target and Deadline.
type submission struct {
	Work
	TargetLeft   time.Duration `json:"target_left_ns"`
	DeadlineLeft time.Duration `json:"deadline_left_ns"`
	// Waits are what the sender knows of the shards. VMs of earlier versions
	// neither send nor read them.
	Waits []shardWait `json:"waits,omitempty"`
	// Others are what the sender knows of shards of other services, since a node may
	// submit little to each. Only VMs that admit by priority send and read them.
	Others []serviceWaits `json:"others,omitempty"`
}

// serviceWaits are the waits of the shards of one service.
type serviceWaits struct {
	Service string      `json:"service"`
	Waits   []shardWait `json:"waits"`
}

// submitResponse is the response to a submission.
type submitResponse struct {
	Handles []string `json:"handles"`
	// Wait is the estimated time until work that is submitted to this owner now
	// starts.
	Wait time.Duration `json:"wait_ns,omitempty"`
	// Waits are what the owner knows of all shards, including its own. VMs of
	// earlier versions do not send them.
	Waits []shardWait `json:"waits,omitempty"`
	// Others are as in a submission.
	Others []serviceWaits `json:"others,omitempty"`
	// Owner is set if the receiver owns no shard of the service and has done
	// nothing; it names an owner in the receiver's view.
	Owner string `json:"owner,omitempty"`
}

// releaseRequest asks an owner to release results.
type releaseRequest struct {
	Service string   `json:"service"`
	Handles []string `json:"handles"`
}

// shardWait is the queue wait of a shard that was reported some time ago.
type shardWait struct {
	Domain string        `json:"domain"` // Failure domain of the shard; empty if the service is not split.
	Wait   time.Duration `json:"wait_ns"`
	Age    time.Duration `json:"age_ns"`
	// Level is the level of admission that the owner has made with the wait, nil if it
	// does not admit by priority.
	Level *admit.Level `json:"level,omitempty"`
}
