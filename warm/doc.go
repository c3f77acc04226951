// Package warm decides how many calls one target may have in flight.
//
// A target is cold when it is new, and again after a restart, an idle period, a
// rejection, a crash, repeated failures or a far too slow response, and when
// this node has no state of it; see [Cause]. It stays cold until enough
// responses were fast, or four times as many have arrived, and gets at most its
// cold limit of calls until then. Afterwards its limit follows latency like a
// congestion window: it grows by one with each response in slow start, then by
// about one per round of calls, and is lowered by a factor when latency rises
// well above its baseline. Load reports, which lag behind, can only reduce the
// number of calls.
//
// The package is a state machine: it takes the time as an argument and starts
// no goroutines.
package warm
