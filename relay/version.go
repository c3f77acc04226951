package relay

import (
	"errors"
	"net/http"
	"time"

	"bergamotworks/canary"
	"bergamotworks/fault"
	"bergamotworks/place"
	"bergamotworks/site"
)

// errNotAdmitted means that a call was not sent because its target must not get it while
// versions are rolled out.
var errNotAdmitted = errors.New("the target's version gets no further calls for now")

// unsent reports whether an attempt was not sent because its target is held or its version
// gets no further calls.
func unsent(err error) bool { return place.IsHeld(err) || errors.Is(err, errNotAdmitted) }

// abandonShare is the part of the first-event timeout after which a client has given up
// because there was no event.
const abandonShare = 0.9

// recordBegin records the first byte, or the first event, of the current attempt's response.
func (x *exchange) recordBegin() {
	if x.targetBegan == 0 {
		x.targetBegan = max(1, x.server.Clock.Now().Sub(x.sentAt))
	}
}

// regularTargets returns the targets of the service that bear its requests now. A request
// does not wait for the others, which get only a few.
func (x *exchange) regularTargets(now time.Time) []site.Target {
	regular, _ := x.server.Rollouts.Split(now, x.service, x.server.Directory().Usable(x.service))
	return regular
}

// recordVersion records what an attempt says about the version of its target. A rejection
// by a full target, a disconnected client and a local shortage say nothing. The status is
// that of the response, zero if there was none.
func (x *exchange) recordVersion(t site.Target, status int, err error) {
	if isMoved(err) { // If there was no event yet, the wait so far counts as the time to the first.
		x.recordBegin()
	}
	failed := false
	switch outcomeOf(err) {
	case place.Succeeded:
		failed = status >= http.StatusInternalServerError
	case place.Failed, place.Unreachable:
		if failed = fault.From(err).Kind != fault.Expired; !failed {
			return
		}
	case place.Unknown:
		if failed = x.targetTooSlow(err); !failed && x.targetBegan == 0 {
			return
		}
	case place.Overloaded, place.WrongTarget:
		return
	}
	x.server.Rollouts.Ended(x.server.Clock.Now(), x.route.Name, t, canary.Outcome{Failed: failed, FirstByte: x.targetBegan})
}

// targetTooSlow reports whether an attempt ended without a complete response because its
// target took too long: the time of the request, or the time in which clients expect the
// first event of a stream, has passed, and the attempt had most of it.
func (x *exchange) targetTooSlow(err error) bool {
	now, limit := x.server.Clock.Now(), x.deadline.Sub(x.arrived)
	late := fault.From(err).Kind == fault.DeadlineExceeded
	if first := x.route.FirstEventTimeout; x.route.Kind == site.Stream && first > 0 && x.targetBegan == 0 {
		limit = min(limit, first)
		abandoned := time.Duration(abandonShare * float64(limit))
		late = late || fault.From(err).Kind == fault.Canceled && now.Sub(x.arrived) >= abandoned
	}
	return late && now.Sub(x.sentAt) >= time.Duration(canary.BlameShare*float64(limit))
}
