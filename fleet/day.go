package fleet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"bergamotworks/platform"
)

// Day is a fleet and what happens to it.
type Day struct {
	Seed    uint64  `json:"seed"`
	Nodes   int     `json:"nodes"`
	Targets int     `json:"targets"` // Of each service.
	Clients int     `json:"clients"`
	Seconds int     `json:"seconds"`
	Events  []Event `json:"events"`
}

// Event is one thing that happens.
type Event struct {
	AtMS   int    `json:"at_ms"` // From the start of the day.
	Kind   Kind   `json:"kind"`
	Node   int    `json:"node,omitempty"`
	Other  int    `json:"other,omitempty"` // Another node, or the number of a target.
	ForMS  int    `json:"for_ms,omitempty"`
	Detail string `json:"detail,omitempty"` // A mode of the store or a fault of a target.
}

func (e Event) String() string {
	return fmt.Sprintf("%d ms %s node %d other %d for %d ms %s", e.AtMS, e.Kind, e.Node, e.Other, e.ForMS, e.Detail)
}

// Kind is the kind of an event.
type Kind string

// Kinds of events.
const (
	KillNode      Kind = "kill_node"      // Its process ends at once, and starts again after ForMS.
	StopNode      Kind = "stop_node"      // A planned stop, and a start after ForMS.
	CutFromStore  Kind = "cut_from_store" // For ForMS.
	CutNodes      Kind = "cut_nodes"      // From Node to Other, one way, for ForMS.
	SilenceNode   Kind = "silence_node"   // Nothing reaches it or comes from it for ForMS.
	SilenceDomain Kind = "silence_domain" // The same for all nodes of a failure domain.
	ResetNode     Kind = "reset_node"     // Its connections are reset.
	StoreMoment   Kind = "store"          // The store is in the mode Detail for ForMS.
	// RestoreStore is a restore of the store: it goes away after ForMS and comes back with
	// what it holds now.
	RestoreStore  Kind = "restore_store"
	TargetLeaves  Kind = "target_leaves"  // It reports that it drains, and ends later.
	TargetRemoved Kind = "target_removed" // Its entry is removed, and it ends later.
	TargetSays    Kind = "target_says"    // It says in its responses that it leaves, and drains later.
	TargetDies    Kind = "target_dies"    // Its process ends; its entry is removed later.
	TargetReused  Kind = "target_reused"  // It dies, and another one starts at its address at once.
	TargetFault   Kind = "target_fault"   // It has the fault Detail for ForMS.
	CrashRequest  Kind = "crash_request"  // Clients repeat a request that crashes its target for ForMS.
	MoveRoute     Kind = "move_route"     // A route leads to the other service.
	WithdrawKey   Kind = "withdraw_key"   // The clients' key is not valid for ForMS.
	DrainDomain   Kind = "drain_domain"   // A failure domain gets no requests for ForMS.
	OddEntry      Kind = "odd_entry"      // Another writer leaves an entry that names no target.
)

const (
	settleTime  = 6 * time.Second // Before the first event.
	recoverTime = 8 * time.Second // After the last event.
)

// Generate returns the day of a seed.
func Generate(seed uint64) Day {
	r := rand.New(rand.NewPCG(seed, 1))
	d := Day{Seed: seed, Nodes: pickSize(r), Targets: 4 + r.IntN(4), Clients: 6, Seconds: 40}
	troubles := 4 + r.IntN(10)
	span := d.Seconds*1000 - int((settleTime + recoverTime).Milliseconds())
	at := int(settleTime.Milliseconds())
	for range troubles {
		// Half of the events fall near the one before, so that they overlap.
		if r.IntN(2) == 0 {
			at = int(settleTime.Milliseconds()) + r.IntN(span)
		} else {
			at = min(at+r.IntN(1500), int(settleTime.Milliseconds())+span)
		}
		d.Events = append(d.Events, randomEvent(r, d, at))
	}
	d.Events = append(d.Events, restoreEvents(seed, span)...)
	return d
}

// restoreShare is the number of days, of 100, in which the store is restored from a copy.
const restoreShare = 30

// restoreEvents returns a restore of the store in restoreShare of the days, within a span in
// milliseconds, and changes that it undoes. They are drawn apart from the other events, which
// stay the same for a seed.
func restoreEvents(seed uint64, span int) []Event {
	r := rand.New(rand.NewPCG(seed, 4))
	if r.IntN(100) >= restoreShare {
		return nil
	}
	e := Event{AtMS: int(settleTime.Milliseconds()) + r.IntN(span), Kind: RestoreStore, ForMS: 500 + r.IntN(4500)}
	events := []Event{e}
	for range r.IntN(12) {
		kinds := []Kind{MoveRoute, MoveRoute, DrainDomain, TargetLeaves, TargetRemoved}
		undone := Event{AtMS: e.AtMS + r.IntN(e.ForMS), Kind: kinds[r.IntN(len(kinds))], Node: r.IntN(100), Other: r.IntN(100), ForMS: 300 + r.IntN(5000)}
		events = append(events, undone)
	}
	return events
}

// pickSize returns a number of nodes. With more than eight, not all read the store.
func pickSize(r *rand.Rand) int {
	sizes := []int{3, 5, 8, 10, 12, 12, 16}
	return sizes[r.IntN(len(sizes))]
}

func randomEvent(r *rand.Rand, d Day, at int) Event {
	kinds := []Kind{
		KillNode, StopNode, CutFromStore, CutNodes, SilenceNode, SilenceDomain, ResetNode, StoreMoment, TargetLeaves, TargetRemoved, TargetSays,
		TargetDies, TargetReused, TargetFault, TargetFault, TargetFault, CrashRequest, MoveRoute, MoveRoute, WithdrawKey, OddEntry, DrainDomain,
	}
	e := Event{AtMS: at, Kind: kinds[r.IntN(len(kinds))], Node: r.IntN(d.Nodes), Other: r.IntN(100), ForMS: 300 + r.IntN(5000)}
	switch e.Kind {
	case CrashRequest:
		e.ForMS += 6000
	case CutNodes:
		e.Other = (e.Node + 1 + r.IntN(d.Nodes-1)) % d.Nodes
	case StoreMoment:
		e.Detail = string([]platform.StoreMode{platform.StoreRefuses, platform.StoreSilent, platform.StoreLoses}[r.IntN(3)])
	case TargetFault:
		e.Detail = string([]Fault{Garbage, CutBody, ErrorReply, Repeat, Endless, Refuse, AskWait, RepeatLate, RepeatLate, Silent}[r.IntN(10)])
	}
	return e
}

// end returns the time at which an event is over, in milliseconds.
func (e Event) end() int { return e.AtMS + e.ForMS }
