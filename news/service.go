package news

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"bergamotworks/member"
	"bergamotworks/ports"
	"bergamotworks/site"
)

// MethodFetch is the method by which a node learns which state another has.
const MethodFetch = "news.tell"

const (
	readInterval  = 1050 * time.Millisecond // Between two reads of the directory.
	retryInterval = 300 * time.Millisecond  // Between two attempts to read the directory while the store does not respond.
	// graceRefreshInterval is the time between two refreshes while the entries that
	// were retained in a grace period must be confirmed.
	graceRefreshInterval = 100 * time.Millisecond
	// operatorRetryInterval is the time between two attempts to read the operator
	// state while that fails. Peers are asked for it meanwhile.
	operatorRetryInterval = 600 * time.Millisecond
	// fleetRetryInterval is the time between two attempts to read the store, of
	// all VMs together, while none of the store readers can.
	fleetRetryInterval = 50 * time.Millisecond
	readTimeout        = 800 * time.Millisecond
	// operatorReadTimeout bounds a read of the operator state. A large
	// configuration takes more than a second on a slow network link; a store that
	// does not respond fails the read earlier.
	operatorReadTimeout = 2500 * time.Millisecond
	// operatorReadInterval is the time between two reads of the operator state
	// beside the watch, which may have missed a change while the store dropped
	// its history.
	operatorReadInterval = 6 * time.Second
	// watchWait and watchSlack limit how long a connection that is broken without
	// an error can delay changes by operators: a watch waits for watchWait, and its
	// response may take watchSlack longer.
	watchWait     = 1200 * time.Millisecond
	watchSlack    = 200 * time.Millisecond
	minWatchWait  = 1 * time.Millisecond // Of a watch that only looks for past changes.
	peerTimeout   = 400 * time.Millisecond
	maxFetchPeers = 2 // Maximum number of nodes called in one refresh.
)

// maxAge is the age of state that was never confirmed.
const maxAge = time.Duration(math.MaxInt64)

// Source reads the store.
type Source interface {
	// Directory returns the registered targets. DrainedDomains is not set.
	Directory(ctx context.Context) (site.Directory, error)
	// OperatorState returns the configuration, the drained failure domains and the
	// rollouts, with the revision of the store. The configuration is not loaded if the
	// store holds none or an invalid one. It fails before the context ends if
	// the store does not begin to respond.
	OperatorState(ctx context.Context) (OperatorState, error)
	// WaitForChange reports whether the configuration, the drained failure domains or
	// the orders of rollouts have changed, or may have changed, after a position. It returns at
	// a change or when wait has passed, and fails if the store has not responded
	// when the context ends.
	WaitForChange(ctx context.Context, after site.Position, wait time.Duration) (changed bool, err error)
}

// OperatorState is what operators have written to the store.
type OperatorState struct {
	Config         site.Config
	DrainedDomains []string
	Rollouts       []site.Rollout
	RolloutsRead   bool // Otherwise Rollouts says nothing.
	site.Position       // Of the store.
}

// PeerCaller calls methods of other nodes.
type PeerCaller interface {
	Call(ctx context.Context, vm, method string, params, result any) error
}

// Service follows the store, directly or through other nodes. The exported
// fields are set before [Service.Run].
type Service struct {
	Self    string
	Source  Source
	Peers   PeerCaller
	View    func() member.View
	Clock   ports.Clock
	Random  ports.Random
	Log     *logrus.Entry
	Metrics *metrics.Set

	mutex         sync.Mutex // Guards the fields below.
	state         State
	lastStoreRead time.Time // Last successful read, by this node or by the store reader that it fetched from.
	// operatorsAsOf is the latest time at which the store is known to have held
	// the operator state of this node. It may be zero.
	operatorsAsOf time.Time
	// operatorPosition is the latest position of the store of which that is known; its
	// revision is zero if there is none.
	operatorPosition site.Position
	pauses           pauseDetector
	reports          []report // Of newer revisions, oldest first.
	encodedConfig    encodedCache
	encodedDirectory encodedCache
	fetches          sync.WaitGroup
	lastReadError    time.Time // Last failed read by loopRefresh, which alone uses it.

	setup sync.Once
	wake  chan struct{} // Wakes loopReported.
}

// revisions are the revisions that a node has, zero for a part that it lacks;
// the parameters of MethodFetch.
type revisions struct {
	ConfigRevision         int64 `json:"version"`
	DirectoryRevision      int64 `json:"revision"`
	DrainedDomainsRevision int64 `json:"departures"`
	// RolloutsRevision is zero, too, if there are no rollouts.
	RolloutsRevision int64 `json:"rollouts,omitempty"`
	// The epochs of the revisions. VMs of earlier versions do not state them.
	DrainedDomainsEpoch int64 `json:"departures_epoch,omitempty"`
	RolloutsEpoch       int64 `json:"rollouts_epoch,omitempty"`
	// Transfers means that the sender fetches configurations and directories by
	// calls of their own. VMs of earlier versions do not.
	Transfers bool `json:"transfers"`
}

// update describes the sender's state; the result of MethodFetch. The receiver
// fetches the configuration and the directory by calls of their own.
type update struct {
	// ConfigRevision is the revision of the sender's configuration; zero if it has
	// none or is a VM of an earlier version, which sends Config.
	ConfigRevision int64 `json:"version"`
	// DirectoryVersion identifies the directory of the sender.
	DirectoryVersion directoryVersion `json:"directory_version"`
	// Config and Directory are sent between VMs of different versions only.
	Config         *site.Config    `json:"config,omitempty"`
	Directory      *site.Directory `json:"directory,omitempty"`
	DrainedDomains *DrainedDomains `json:"departures,omitempty"`
	Rollouts       *Rollouts       `json:"rollouts,omitempty"`
	// Now is the time by the sender's clock.
	Now time.Time `json:"now"`
	// Age is the time since the read of the store that the sender's state comes
	// from.
	Age time.Duration `json:"age_ns"`
	// OperatorAge is the time since the store is known to have held the sender's
	// operator state.
	OperatorAge time.Duration `json:"operator_age_ns"`
	// OperatorRevision and OperatorEpoch are the latest position of the store of which
	// that is known.
	OperatorRevision int64 `json:"operator_revision"`
	OperatorEpoch    int64 `json:"operator_epoch,omitempty"`
	// GraceRemaining is how long the sender still retains expired entries. VMs of
	// earlier versions then retain theirs as long; others if they know of an outage.
	GraceRemaining time.Duration `json:"keep_ns,omitempty"`
}

// Run follows the store until the context is canceled.
func (s *Service) Run(ctx context.Context) error {
	s.registerGauges()
	s.prepare()
	s.start(ctx)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.loopOperatorState(ctx) })
	group.Go(func() error { return s.loopRefresh(ctx) })
	group.Go(func() error { return s.loopReported(ctx) })
	defer s.fetches.Wait()
	return group.Wait()
}

// Config returns the active configuration.
func (s *Service) Config() site.Config {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state.Config()
}

// Directory returns the active directory.
func (s *Service) Directory() site.Directory {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state.Directory()
}

// Rollouts returns the rollouts that operators have ordered. The caller must not modify
// the slice.
func (s *Service) Rollouts() []site.Rollout {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state.Rollouts()
}

// epoch returns the latest epoch of the store that is known, zero if there is none.
func (s *Service) epoch() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state.Epoch()
}

// AsOf returns the latest times at which the store is known to have held the operator
// state and the directory of this node. They may be zero.
func (s *Service) AsOf() (operatorState, directory time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.operatorsAsOf, s.lastStoreRead
}

// TimeSinceStoreRead returns the time since the last successful read of the
// store, by this node or by the store reader that it fetched from. Before the
// first read it is the maximum duration.
func (s *Service) TimeSinceStoreRead() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.Clock.Now().Sub(s.lastStoreRead)
}

// loopRefresh refreshes the state periodically.
func (s *Service) loopRefresh(ctx context.Context) error {
	for {
		if !s.waitNextRefresh(ctx, s.refresh(ctx)) {
			return nil
		}
	}
}

// refresh refreshes the state once, from a store reader, from the store or, if
// that fails, from other nodes. It returns the time until the next refresh.
func (s *Service) refresh(ctx context.Context) time.Duration {
	useReaders := !s.readsStore()
	if useReaders && s.fetchFromReaders(ctx) {
		return s.untilNextFetch()
	}
	if useReaders && s.Clock.Now().Sub(s.lastReadError) < s.fallbackInterval() {
		return retryInterval
	}
	if s.readStore(ctx, useReaders) == nil {
		return readInterval
	}
	s.lastReadError = s.Clock.Now()
	s.fetchFromPeers(ctx)
	return retryInterval
}

// readStore reads the directory from the store, and the operator state if no
// watch follows it or the watch has not confirmed it for too long.
func (s *Service) readStore(ctx context.Context, unwatched bool) error {
	if err := s.readDirectory(ctx); err != nil {
		return err
	}
	if !unwatched && s.OperatorStateAge() <= maxOperatorAge {
		return nil
	}
	unchanged, err := s.checkUnchanged(ctx)
	if err != nil || unchanged {
		return err
	}
	_, err = s.readOperatorState(ctx)
	return err
}

// fallbackInterval returns the time between two attempts of a VM that is no
// store reader to read the store while no store reader can. It grows with the
// fleet, which would otherwise overload a store that recovers.
func (s *Service) fallbackInterval() time.Duration {
	return max(readInterval, time.Duration(len(s.View().Live()))*fleetRetryInterval)
}

// waitNextRefresh waits until the next refresh, which comes earlier at the end of a
// grace period. It reports false if the context was canceled.
func (s *Service) waitNextRefresh(ctx context.Context, wait time.Duration) bool {
	s.mutex.Lock()
	now := s.Clock.Now()
	grace, awaitsRead := s.state.GraceRemaining(now), s.state.awaitsRead(now)
	s.mutex.Unlock()
	switch {
	case grace > 0:
		wait = min(wait, grace)
	case awaitsRead:
		wait = min(wait, graceRefreshInterval)
	}
	return s.sleep(ctx, wait)
}

func (s *Service) readDirectory(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	d, err := s.Source.Directory(callCtx)
	if err != nil {
		s.recordReadError(ctx, "directory", err)
		return err
	}
	s.mutex.Lock()
	now := s.Clock.Now()
	s.lastStoreRead = now
	change := s.state.Apply(Snapshot{Directory: d, ReadAt: now, AppliedAt: now})
	s.mutex.Unlock()
	s.logChange(change, "store")
	return nil
}

// sleep reports false if the context was canceled.
func (s *Service) sleep(ctx context.Context, wait time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-s.Clock.After(wait):
		return true
	}
}
