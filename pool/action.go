package pool

import (
	"time"

	"bergamotworks/fault"
)

// Action is something that a pool asks its node to do.
type Action interface{ action() }

// Dispatch asks to send a call to a target.
type Dispatch struct {
	Attempt string `json:"attempt"`
	Target  string `json:"target"`
	Address string `json:"address"`
	// FirstLimit is the time in which the answer must begin; zero means that
	// nothing is known.
	FirstByteTimeout time.Duration `json:"first_limit_ns,omitempty"`
}

// Refuse asks to answer a call that was not dispatched and never will be.
type Refuse struct {
	Attempt string       `json:"attempt"`
	Err     *fault.Error `json:"err"`
}

// Cancel asks to cancel a running call. Its slot stays taken until [Finished].
type Cancel struct {
	Attempt string `json:"attempt"`
}

func (Dispatch) action() {}
func (Refuse) action()   {}
func (Cancel) action()   {}
