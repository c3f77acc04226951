package canary

import (
	"time"

	"bergamotworks/site"
)

// Event is an input of a [Machine].
type Event interface{ event() }

type (
	// OrderSeen carries the order as this node read it from the store, with the state
	// that is recorded there.
	OrderSeen struct{ Order site.Rollout }
	// ReportReceived carries the report of a node, also that of the owner's own node.
	ReportReceived struct{ Report Report }
	// TargetsChanged lists the targets of the service that accept new work: those of
	// other versions and those of the order's version.
	TargetsChanged struct{ Old, New []site.Target }
	// StatusWritten is the result of a WriteStatus. With Conflict, State is the state
	// that was found in the store instead. A write whose result is not known leads to
	// no event; the machine repeats it.
	StatusWritten struct {
		State    site.RolloutState
		Conflict bool
	}
	// VerdictReceived carries the phase that another owner announced for an order.
	VerdictReceived struct {
		Order int64
		Phase Phase
	}
	// OrderGone means that the order has been removed.
	OrderGone struct{}
	// Tick lets the machine act on the passage of time, about every half second.
	Tick struct{}
)

func (OrderSeen) event()       {}
func (ReportReceived) event()  {}
func (TargetsChanged) event()  {}
func (StatusWritten) event()   {}
func (VerdictReceived) event() {}
func (OrderGone) event()       {}
func (Tick) event()            {}

// Action is an output of a [Machine].
type Action interface{ action() }

type (
	// WriteStatus writes the state of the order, provided that neither the order nor
	// its status has changed in the store. It is repeated until a StatusWritten
	// arrives.
	WriteStatus struct{ State site.RolloutState }
	// Announce tells all nodes the final phase of an order. RolledBack is announced again
	// until it is recorded, for at most announceTime.
	Announce struct {
		Order int64
		Phase Phase
	}
	// LogDecision describes a change of phase or share for the log.
	LogDecision struct {
		Order            int64
		Service, Version string
		From, To         Phase
		Evidence         Summary // After the change.
	}
)

func (WriteStatus) action() {}
func (Announce) action()    {}
func (LogDecision) action() {}

// Summary describes what an owner knows of an order, for status and logs.
type Summary struct {
	Order     int64         `json:"order"` // site.Rollout.ID.
	Service   string        `json:"service"`
	Version   string        `json:"version"`
	Phase     Phase         `json:"phase"`
	Share     float64       `json:"share"`
	Nodes     int           `json:"nodes"` // Nodes that have reported.
	Sent      int           `json:"sent"`
	Canaries  int           `json:"canaries"`
	OldRuns   int           `json:"old_runs"` // Requests that run on targets of other versions, as far as nodes report them.
	New       Counts        `json:"new"`      // Responses of the order's version.
	Old       Counts        `json:"old"`      // Responses of other versions.
	Verdict   Verdict       `json:"verdict"`
	Reason    string        `json:"reason"`
	Excluded  []string      `json:"excluded,omitempty"` // Targets that fail although the version does not.
	Age       time.Duration `json:"age_ns"`             // Since the order was first seen by any node.
	ReportAge time.Duration `json:"report_age_ns"`      // Since the last report.
}
