package store

import (
	"context"
	"strings"
	"sync"
	"time"

	"bergamotworks/fault"
	"bergamotworks/ports"
)

// FaultKind is a way in which a call goes wrong.
type FaultKind int

// The kinds of fault.
const (
	// FaultDown refuses calls without effect and breaks watches.
	FaultDown FaultKind = iota
	// FaultRequestLost drops a call without effect; the caller cannot tell.
	FaultRequestLost
	// FaultResponseLost lets a call take effect and drops its answer.
	FaultResponseLost
	// FaultLateCommit drops the answer of a commit, which takes effect only on [Faults.Release].
	FaultLateCommit
	// FaultSlow delays a call before it takes effect.
	FaultSlow
	// FaultStaleRead answers a range from an older revision.
	FaultStaleRead
	// FaultWatchLost breaks a watch with an error.
	FaultWatchLost
	// FaultWatchSilent lets a watch stay open without any event for good.
	FaultWatchSilent
	// FaultLeaseExpired ends the lease that a keep-alive was to renew.
	FaultLeaseExpired
	// FaultOverBudget refuses calls without effect, as beyond the call rate.
	FaultOverBudget
)

// Fault is a scripted misbehaviour. It applies to the calls that match.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Calls limits the fault to some kinds of call; empty means all that the
	// fault makes sense for.
	Calls []Call `json:"calls,omitempty"`
	// Prefix limits the fault to calls whose first key has it.
	Prefix string `json:"prefix,omitempty"`
	// Count is the number of calls that go wrong; zero means until [Faults.Clear].
	Count int `json:"count,omitempty"`
	// Skip is the number of matching calls to let pass first.
	Skip int `json:"skip,omitempty"`
	// Share is the chance of a call to go wrong; zero means every call.
	Probability float64 `json:"share,omitempty"`
	// DelayMS is the delay of FaultSlow in milliseconds.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// Back is the number of revisions that FaultStaleRead goes back.
	RevisionsBack int64 `json:"back,omitempty"`
}

// HistoryReader is a store that answers from older revisions.
type HistoryReader interface {
	// RangeAt answers as Range would have done at an older revision.
	RangeAt(ctx context.Context, request ports.RangeRequest, revision int64) (ports.RangeResponse, error)
}

// FaultInjector is a [ports.Store] whose calls go wrong as scripted. Store must be set
// before the first call, Random if a fault has a Share.
type FaultInjector struct {
	Store  ports.Store
	Clock  ports.Clock
	Random ports.Random

	mutex  sync.Mutex
	faults []*Fault
	late   []ports.Txn
	waits  map[*faultyWatcher]context.CancelFunc
}

// Add puts a fault in force. Waiting watches meet it at once.
func (f *FaultInjector) Add(scripted ...Fault) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, s := range scripted {
		f.faults = append(f.faults, &s)
	}
	for _, cancel := range f.waits {
		cancel()
	}
}

// Clear ends all faults. A silent watch stays silent.
func (f *FaultInjector) Clear() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.faults = nil
}

// ApplyLateCommits lets the late commits take effect, in their order, and returns how
// many of them succeeded.
func (f *FaultInjector) ApplyLateCommits(ctx context.Context) int {
	f.mutex.Lock()
	late := f.late
	f.late = nil
	f.mutex.Unlock()
	succeeded := 0
	for _, t := range late {
		response, err := f.Store.Commit(ctx, t)
		if err == nil && response.Succeeded {
			succeeded++
		}
	}
	return succeeded
}

// take returns the fault that a call meets, nil if none.
func (f *FaultInjector) take(call Call, key string) *Fault {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for i, s := range f.faults {
		if !s.matches(call, key) || !f.draw(s.Probability) {
			continue
		}
		if s.Skip > 0 {
			s.Skip--
			continue
		}
		found := *s
		if s.Count == 1 {
			f.faults = append(f.faults[:i:i], f.faults[i+1:]...)
		}
		s.Count--
		return &found
	}
	return nil
}

func (f *FaultInjector) draw(share float64) bool {
	if share == 0 {
		return true
	}
	const scale = 1 << 53
	return float64(f.Random.Uint64()%scale)/scale < share
}

func (f *Fault) matches(call Call, key string) bool {
	if !strings.HasPrefix(key, f.Prefix) || !f.Kind.concerns(call) {
		return false
	}
	for _, c := range f.Calls {
		if c == call {
			return true
		}
	}
	return len(f.Calls) == 0
}

// concerns reports whether a kind of call can go wrong in this way.
func (k FaultKind) concerns(call Call) bool {
	switch k {
	case FaultDown:
		return true
	case FaultRequestLost, FaultResponseLost, FaultSlow, FaultOverBudget:
		return call != CallNext
	case FaultLateCommit:
		return call == CallCommit
	case FaultStaleRead:
		return call == CallRange
	case FaultWatchLost, FaultWatchSilent:
		return call == CallNext
	case FaultLeaseExpired:
		return call == CallKeepAlive
	}
	return false
}

// refuse returns the error of a call that the fault keeps from taking effect,
// nil if the call goes on.
func (f *FaultInjector) refuse(ctx context.Context, met *Fault) error {
	if met == nil {
		return nil
	}
	switch met.Kind {
	case FaultDown:
		return fault.New(fault.Unavailable, fault.NotRun, "store is down")
	case FaultRequestLost:
		return answerLost()
	case FaultOverBudget:
		return fault.New(fault.Busy, fault.NotRun, "store calls are over budget").WithRetryAfter(time.Second)
	case FaultSlow:
		return f.wait(ctx, time.Duration(met.DelayMS)*time.Millisecond)
	}
	return nil
}

// lose returns the error under which the caller sees a call that has ended.
func (f *Fault) lose(err error) error {
	if f != nil && f.Kind == FaultResponseLost {
		return answerLost()
	}
	return err
}

func (f *FaultInjector) wait(ctx context.Context, delay time.Duration) error {
	select {
	case <-clockOf(f.Clock).After(delay):
		return nil
	case <-ctx.Done():
		return fault.From(ctx.Err())
	}
}

func answerLost() error {
	return fault.New(fault.ConnectionLost, fault.MayHaveRun, "answer of the store was lost")
}
