package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"bergamotworks/relay"
)

const (
	// askedWait is the time for which a target asks to be left alone.
	askedWait = 4 * time.Second
	// waitGrace is the time after such a response in which calls may still arrive, and
	// maxCallsInWait the number of those that may arrive from one node after it.
	waitGrace      = 500 * time.Millisecond
	maxCallsInWait = 2
	// leaveGrace is the time after which no call of a node may reach a target that has
	// told the node that it leaves. On a machine whose speed must not decide, it is
	// the one for both.
	leaveGrace = 2 * time.Second
	// leavePeriod is the time for which that is checked. Nodes may call a target
	// without an incarnation again after it.
	leavePeriod = 25 * time.Second
)

// noticeLog holds the calls that have reached a target and what it has said of itself.
type noticeLog struct {
	mutex    sync.Mutex
	arrivals []arrival
	notices  []targetNotice
}

// arrival is a call of a node.
type arrival struct {
	node string
	at   time.Time
}

// targetNotice is what a target has said of itself in a response to a node.
type targetNotice struct {
	arrival
	leaving bool // Otherwise it has asked to wait for askedWait.
}

// ServeHTTP serves one call and gives the notices of the target in the header of its
// response. A notice counts once the response has been sent to a node that still waits
// for it; a call that panics breaks off without one.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	names := relay.DefaultHeaderNames()
	a := arrival{node: r.Header.Get(names.Sender), at: time.Now()}
	t.notices.recordArrival(a)
	leaving, asking := t.leaving.Load(), t.asking.Load()
	if leaving {
		w.Header().Set(names.Leaving, "1")
	}
	if asking {
		w.Header().Set("Retry-After", strconv.FormatFloat(askedWait.Seconds(), 'f', -1, 64))
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	} else {
		t.serve(w, r)
	}
	if r.Context().Err() != nil {
		return
	}
	a.at = time.Now()
	if leaving {
		t.notices.recordNotice(targetNotice{arrival: a, leaving: true})
	}
	if asking {
		t.notices.recordNotice(targetNotice{arrival: a})
	}
}

func (l *noticeLog) recordArrival(a arrival) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.arrivals = append(l.arrivals, a)
}

func (l *noticeLog) recordNotice(n targetNotice) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.notices = append(l.notices, n)
}

// window returns the time in which calls of the node count against the notice, and the
// number that may arrive in it.
func (n targetNotice) window(exact bool) (from, to time.Time, most int) {
	if n.leaving {
		return n.at.Add(leaveGrace), n.at.Add(leavePeriod), 0
	}
	grace := leaveGrace
	if exact {
		grace = waitGrace
	}
	return n.at.Add(grace), n.at.Add(askedWait), maxCallsInWait
}

// checkNotices returns the violations of what the targets have said of themselves, and
// the number of notices that were checked. Nodes are bound by what has reached them
// while neither they nor their connections to the target were disturbed.
func (e *env) checkNotices(exact bool) (violations []string, checked int) {
	for _, b := range e.targets {
		for _, n := range b.target.notices.notices {
			from, to, most := n.window(exact)
			to = e.calmUntil(b, n, to)
			if !to.After(from) {
				continue
			}
			checked++
			if calls := b.target.notices.count(n.node, from, to); calls > most {
				violations = append(violations, fmt.Sprintf("%s: %d calls of %s from %s to %s after it had said that it leaves (%t) or asks to wait, want at most %d",
					b.target.id, calls, n.node, from.Sub(n.at), to.Sub(n.at), n.leaving, most))
			}
		}
	}
	return violations, checked
}

// calmUntil returns the end of the time after a notice in which neither the node that has
// received it nor its connections to the target were disturbed, at most limit.
func (e *env) calmUntil(b *backend, n targetNotice, limit time.Time) time.Time {
	i := slices.IndexFunc(e.nodes, func(v *node) bool { return v.id == n.node })
	if i < 0 {
		return n.at
	}
	return b.proxy.calmUntil(n.at, e.nodes[i].calmUntil(n.at, limit))
}

// count returns the number of calls of a node that have arrived between two times.
func (l *noticeLog) count(node string, from, to time.Time) int {
	count := 0
	for _, a := range l.arrivals {
		if a.node == node && a.at.After(from) && a.at.Before(to) {
			count++
		}
	}
	return count
}
