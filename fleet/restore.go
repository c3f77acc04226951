package fleet

import (
	"time"

	"bergamotworks/platform"
)

const (
	storeAway = 300 * time.Millisecond // Before the store comes back from a copy.
	// writeAgainTime is the time from the return of the store within which operators and
	// targets write again what is lost.
	writeAgainTime = 1 * time.Second
)

// restoreStore lets the store go away and come back from a copy. What operators and targets
// have written since is written again, in random order.
func (w *World) restoreStore(held platform.StoreCopy) {
	w.store.SetMode(platform.StoreSilent)
	time.Sleep(storeAway)
	lost := w.store.Restore(held)
	w.store.SetMode(platform.StoreUp)
	w.mutex.Lock()
	w.random.Shuffle(len(lost), func(i, k int) { lost[i], lost[k] = lost[k], lost[i] })
	w.mutex.Unlock()
	for _, l := range lost {
		time.Sleep(writeAgainTime / time.Duration(len(lost)))
		w.store.WriteAgain(l)
	}
}

// demandedUntil returns the time until which a change must have been in force for a node to
// obey it in a request that is sent at the given time: then, or the time at which the store
// went away if that is not long ago and the store came back from a copy. Nothing is demanded
// of a node that is impaired otherwise.
func (j judgement) demandedUntil(ip string, sent time.Time) time.Time {
	if j.impaired(ip, sent) {
		return time.Time{}
	}
	until := sent
	for _, e := range j.day.Events {
		away := j.started.Add(time.Duration(e.end()) * time.Millisecond)
		if e.Kind == RestoreStore && !sent.Before(away) && sent.Before(away.Add(storeAway+contactBound)) && away.Before(until) {
			until = away
		}
	}
	return until
}
