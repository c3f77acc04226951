package store

import (
	"context"
	"strings"
	"sync"
	"time"

	"bergamotworks/fault"
	"bergamotworks/ports"
)

// FaultKind is a kind of fault that can be injected into a call.
type FaultKind int

// Kinds of fault. The line comments are the texts in scripts.
const (
	// FaultDown rejects calls without effect and fails watches.
	FaultDown FaultKind = iota // down
	// FaultRequestLost drops a call without effect. The outcome is unknown to
	// the caller.
	FaultRequestLost // request_lost
	// FaultResponseLost lets a call take effect and drops its response.
	FaultResponseLost // answer_lost
	// FaultLateCommit drops the response of a commit, which takes effect only on
	// [FaultInjector.ApplyLateCommits].
	FaultLateCommit // late
	// FaultSlow delays a call before it takes effect.
	FaultSlow // slow
	// FaultStaleRead returns a range at an older revision.
	FaultStaleRead // stale_read
	// FaultWatchLost fails a watch with an error.
	FaultWatchLost // watch_lost
	// FaultWatchSilent keeps a watch open without any further event.
	FaultWatchSilent // watch_silent
	// FaultLeaseExpired revokes the lease before a keep-alive that would renew it.
	FaultLeaseExpired // lease_lapsed
	// FaultOverBudget rejects calls without effect, as if they exceeded the call
	// rate.
	FaultOverBudget // over_budget
)

// Fault is a scripted fault. It is injected into the calls that match.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Calls limits the fault to some kinds of call. Empty means all kinds to
	// which the fault applies.
	Calls []CallKind `json:"calls,omitempty"`
	// Prefix limits the fault to calls whose first key has this prefix.
	Prefix string `json:"prefix,omitempty"`
	// Count is the number of calls into which the fault is injected; zero means
	// until [FaultInjector.Clear].
	Count int `json:"count,omitempty"`
	// Skip is the number of matching calls that are not affected at first.
	Skip int `json:"skip,omitempty"`
	// Probability is the probability that a matching call is affected, in (0, 1];
	// zero means every call.
	Probability float64 `json:"share,omitempty"`
	// DelayMS is the delay of FaultSlow in milliseconds.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// RevisionsBack is the number of revisions that FaultStaleRead goes back.
	RevisionsBack int64 `json:"back,omitempty"`
}

// HistoryReader is a store that can be read at older revisions.
type HistoryReader interface {
	// RangeAt returns what Range would have returned at an older revision.
	RangeAt(ctx context.Context, request ports.RangeRequest, revision int64) (ports.RangeResponse, error)
}

// FaultInjector is a [ports.Store] that injects scripted faults into its calls.
// Store must be set before the first call, and Random if a fault has a
// Probability.
type FaultInjector struct {
	Store  ports.Store
	Clock  ports.Clock
	Random ports.Random

	mutex       sync.Mutex
	faults      []*Fault
	lateCommits []ports.Txn
	nextCalls   map[*faultyWatcher]context.CancelFunc
}

// Add activates faults. They also affect waiting watches, immediately.
func (f *FaultInjector) Add(faults ...Fault) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, added := range faults {
		f.faults = append(f.faults, &added)
	}
	for _, cancel := range f.nextCalls {
		cancel()
	}
}

// Clear removes all faults. A silent watch stays silent.
func (f *FaultInjector) Clear() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.faults = nil
}

// ApplyLateCommits sends the commits that FaultLateCommit has held back, in their
// order. It returns the number that succeeded.
func (f *FaultInjector) ApplyLateCommits(ctx context.Context) int {
	f.mutex.Lock()
	commits := f.lateCommits
	f.lateCommits = nil
	f.mutex.Unlock()
	succeeded := 0
	for _, t := range commits {
		response, err := f.Store.Commit(ctx, t)
		if err == nil && response.Succeeded {
			succeeded++
		}
	}
	return succeeded
}

// nextFault returns the fault to inject into a call, or nil, and updates the
// counts of the faults.
func (f *FaultInjector) nextFault(call CallKind, key string) *Fault {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for i, s := range f.faults {
		if !s.matches(call, key) || !f.occurs(s.Probability) {
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

// occurs draws whether a fault with the given probability is injected.
func (f *FaultInjector) occurs(probability float64) bool {
	if probability == 0 {
		return true
	}
	const scale = 1 << 53
	return float64(f.Random.Uint64()%scale)/scale < probability
}

func (f *Fault) matches(call CallKind, key string) bool {
	if !strings.HasPrefix(key, f.Prefix) || !f.Kind.appliesTo(call) {
		return false
	}
	for _, c := range f.Calls {
		if c == call {
			return true
		}
	}
	return len(f.Calls) == 0
}

// appliesTo reports whether the fault applies to a kind of call.
func (k FaultKind) appliesTo(call CallKind) bool {
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

// injectBefore injects a fault before the call takes effect. It returns the error
// of the call, or nil if the call proceeds.
func (f *FaultInjector) injectBefore(ctx context.Context, injected *Fault) error {
	if injected == nil {
		return nil
	}
	switch injected.Kind {
	case FaultDown:
		return fault.New(fault.Unavailable, fault.NotRun, "store is down")
	case FaultRequestLost:
		return responseLostError()
	case FaultOverBudget:
		return fault.New(fault.Busy, fault.NotRun, "store calls are over budget").WithRetryAfter(time.Second)
	case FaultSlow:
		return f.delay(ctx, time.Duration(injected.DelayMS)*time.Millisecond)
	}
	return nil
}

// injectAfter returns the error that the caller receives for a call that has
// taken effect. The fault may be nil.
func (f *Fault) injectAfter(err error) error {
	if f != nil && f.Kind == FaultResponseLost {
		return responseLostError()
	}
	return err
}

func (f *FaultInjector) delay(ctx context.Context, delay time.Duration) error {
	select {
	case <-clockOf(f.Clock).After(delay):
		return nil
	case <-ctx.Done():
		return fault.From(ctx.Err())
	}
}

func responseLostError() error {
	return fault.New(fault.ConnectionLost, fault.MayHaveRun, "answer of the store was lost")
}
