package pool

import (
	"time"

	"bergamotworks/fault"
)

// Action is a request of a pool to its owner.
type Action interface{ action() }

// Dispatch requests that a call be sent to a target.
type Dispatch struct {
	Attempt string `json:"attempt"`
	Target  string `json:"target"`
	Address string `json:"address"`
	// FirstByteTimeout is the time within which the response is expected to start,
	// derived from the target's latencies. Zero means that the target is cold or has
	// too few measurements. The owner takes the minimum of it and a timeout derived
	// from the service's typical latency, but at least 750 ms.
	FirstByteTimeout time.Duration `json:"first_limit_ns,omitempty"`
}

// Reject requests that a call fail with Err. The call was not and will not be
// dispatched.
type Reject struct {
	Attempt string       `json:"attempt"`
	Err     *fault.Error `json:"err"`
}

// Cancel requests that a running call be canceled. The call counts as running
// until [Finished].
type Cancel struct {
	Attempt string `json:"attempt"`
}

func (Dispatch) action() {}
func (Reject) action()   {}
func (Cancel) action()   {}
