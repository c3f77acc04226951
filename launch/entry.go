package launch

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"bergamotworks/fault"
	"bergamotworks/note"
	"bergamotworks/ports"
	"bergamotworks/site"
)

// Keys in the store. The name of a service follows orderPrefix and statePrefix. Orders and
// states share a prefix, so that one range read returns both at one revision.
const (
	prefix      = "bergamot/rollout/"
	orderPrefix = prefix + "order/"
	statePrefix = prefix + "state/"
)

// Bounds of orders.
const (
	maxRollouts = 64 // Orders in the store, open or decided.
	maxSpan     = 24 * time.Hour
)

// orderEntry is the stored order to roll a version out.
type orderEntry struct {
	Service string `json:"service"`
	Version string `json:"version"`
	SpanMS  int64  `json:"span_ms"` // From the order to its deadline, in milliseconds.
}

// stateEntry is the stored state of an order.
type stateEntry struct {
	Order  int64             `json:"order"` // Revision of the store at which the order was written.
	State  site.RolloutState `json:"state"`
	Reason string            `json:"reason,omitempty"`
}

const reasonWithdrawn = "withdrawn" // An operator has withdrawn the order.

// decode returns the orders among the entries, with their states, sorted by service. It
// skips an entry that it cannot decode and passes it to skipped.
func decode(entries []ports.KeyValue, skipped func(key string, err error)) []site.Rollout {
	var rollouts []site.Rollout
	for _, e := range entries {
		if !strings.HasPrefix(e.Key, orderPrefix) {
			continue
		}
		r, err := decodeOrder(e)
		if err == nil && len(rollouts) == maxRollouts {
			err = fmt.Errorf("more than %d orders", maxRollouts)
		}
		if err != nil {
			skipped(e.Key, err)
			continue
		}
		rollouts = append(rollouts, r)
	}
	for i, r := range rollouts {
		at := slices.IndexFunc(entries, func(e ports.KeyValue) bool { return e.Key == statePrefix+r.Service })
		if at < 0 {
			continue
		}
		var err error
		if rollouts[i], err = withState(r, entries[at]); err != nil {
			skipped(entries[at].Key, err)
		}
	}
	return rollouts
}

func decodeOrder(e ports.KeyValue) (site.Rollout, error) {
	var o orderEntry
	if err := json.Unmarshal(e.Value, &o); err != nil {
		return site.Rollout{}, err
	}
	r := site.Rollout{Service: o.Service, Version: o.Version, Span: time.Duration(o.SpanMS) * time.Millisecond, Revision: e.ModRevision}
	if orderPrefix+o.Service != e.Key {
		return site.Rollout{}, fmt.Errorf("service %q in the entry of another", o.Service)
	}
	return r, checkOrder(r)
}

// checkOrder returns an error of kind fault.Invalid if a field has a value that no order
// has.
func checkOrder(r site.Rollout) error {
	switch {
	case r.Service == "":
		return fault.InvalidField("service", "missing")
	case !note.ValidVersion(r.Version):
		return fault.InvalidField("version", "%q is no valid version", r.Version)
	case r.Span < time.Millisecond || r.Span > maxSpan:
		return fault.InvalidField("span_ms", "%s is not from 1ms to %s", r.Span, maxSpan)
	}
	return nil
}

// withState returns the order with the state in an entry. If the entry belongs to an earlier
// order, only its revision is taken, which the next write of the state compares.
func withState(r site.Rollout, e ports.KeyValue) (site.Rollout, error) {
	r.StateRevision = e.ModRevision
	var s stateEntry
	if err := json.Unmarshal(e.Value, &s); err != nil {
		return r, err
	}
	if s.Order == r.Revision {
		r.State = s.State
	}
	return r, nil
}

// contentRevision returns the revision of the last change of an order or state.
func contentRevision(rollouts []site.Rollout) int64 {
	var last int64
	for _, r := range rollouts {
		last = max(last, r.Revision, r.StateRevision)
	}
	return last
}

// encode returns the JSON encoding of an entry, which always encodes without error.
func encode(entry any) []byte {
	text, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	return text
}
