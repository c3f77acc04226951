package owner

import (
	"sync"
	"time"

	"bergamotworks/member"
	"bergamotworks/pool"
	"bergamotworks/ports"
)

// owned drives the state machine of one pool.
type owned struct {
	name    string
	clock   ports.Clock
	mutex   sync.Mutex
	pool    *pool.Pool
	waiting map[string]*waiter
	ticked  time.Time // Last tick in trust, or begin of the suspension.
	epoch   uint64    // Epoch of the membership at the last tick.
	paused  bool
	feeds   map[string]feed // Cache events by target.
}

// waiter is a call between its submission and its end.
type waiter struct {
	decision chan pool.Action // Gets one Dispatch or Refuse.
	cancel   func()           // Cancels the running call; nil before it runs.
	canceled bool
}

// step passes an event to the pool and carries out its actions. After a pause
// of the process the pool is suspended first, since another node may have
// taken it over.
func (o *owned) step(now time.Time, event pool.Event) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.detectPause(now)
	o.apply(now, event)
}

func (o *owned) detectPause(now time.Time) {
	if !o.paused && now.Sub(o.ticked) >= pauseLimit {
		o.suspend(now)
	}
}

func (o *owned) apply(now time.Time, event pool.Event) {
	for _, a := range o.pool.Step(now, event) {
		o.act(a)
	}
}

func (o *owned) act(action pool.Action) {
	switch a := action.(type) {
	case pool.Dispatch:
		o.decide(a.Attempt, a)
	case pool.Refuse:
		o.decide(a.Attempt, a)
		delete(o.waiting, a.Attempt)
	case pool.Cancel:
		if w := o.waiting[a.Attempt]; w != nil {
			w.canceled = true
			if w.cancel != nil {
				w.cancel()
			}
		}
	}
}

func (o *owned) decide(attempt string, action pool.Action) {
	if w := o.waiting[attempt]; w != nil {
		w.decision <- action
	}
}

// tick passes time. A pool is suspended while the membership does not vouch for
// this node, and after each change of the epoch. It goes on, cold, once that
// lies behind.
func (o *owned) tick(now time.Time, view member.View) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	trusted := !view.Unconfirmed && !view.Isolated && view.Epoch == o.epoch
	o.detectPause(now)
	switch {
	case !trusted:
		o.epoch = view.Epoch
		o.suspend(now)
	case o.paused && now.Sub(o.ticked) >= resumeAfter:
		o.paused = false
		o.ticked = now
		o.apply(now, pool.Resumed{})
	case !o.paused:
		o.ticked = now
	}
	o.apply(now, pool.Ticked{})
}

func (o *owned) suspend(now time.Time) {
	o.ticked = now
	if o.paused {
		return
	}
	o.paused = true
	o.apply(now, pool.Suspended{})
}

// submit registers a call and offers it to the pool.
func (o *owned) submit(now time.Time, call pool.Call) *waiter {
	w := &waiter{decision: make(chan pool.Action, 1)}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.waiting[call.Attempt] = w
	o.detectPause(now)
	o.apply(now, pool.Submitted{Call: call})
	return w
}

// start says that a dispatched call runs and can be cancelled.
func (o *owned) start(w *waiter, cancel func()) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	w.cancel = cancel
	if w.canceled {
		cancel()
	}
}

// finish reports the end of a dispatched call.
func (o *owned) finish(now time.Time, attempt string, outcome pool.Outcome) {
	o.mutex.Lock()
	delete(o.waiting, attempt)
	o.mutex.Unlock()
	o.step(now, pool.Finished{Attempt: attempt, Outcome: outcome})
}

func (o *owned) summary(now time.Time) pool.Summary {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.pool.Summary(now)
}

func (o *owned) handover(now time.Time) *pool.Handover {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.pool.Handover(now)
}

func (o *owned) spec() pool.Spec {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.pool.Spec
}
