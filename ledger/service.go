package ledger

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"bergamotworks/fault"
	"bergamotworks/note"
	"bergamotworks/ports"
)

// Caller calls methods of other nodes. An error with the verdict NotRun means
// that the call was never sent.
type Caller interface {
	Call(ctx context.Context, vm string, method string, params, result any) error
}

// Assignment assigns a writer to each shard.
type Assignment interface {
	// Writer returns the VM that should write a shard, and whether that is
	// this node.
	Writer(shard int) (vm string, local bool)
}

// flushPollInterval is the interval at which Flush checks for operations that
// are not written yet.
const flushPollInterval = 20 * time.Millisecond

// Service is the ledger of one node. Set the exported fields before Run.
type Service struct {
	// VM is the name of this node. It is the prefix of every token.
	VM string
	// Store stores the journals.
	Store ports.Store
	// Peers calls the writers of shards. Nil means that there is no other node.
	Peers Caller
	// Assignment names the writers. Nil means that this node writes every shard.
	Assignment Assignment
	// Clock is used for retention, delays and the check that the creation time
	// of a key is not in the future.
	Clock ports.Clock
	// Random generates the tokens.
	Random ports.Random
	// Log receives errors of the store and of peers.
	Log logrus.FieldLogger
	// Metrics receives the counters of this node.
	Metrics *metrics.Set
	// Limits returns the active limits.
	Limits func() note.Limits
	// MinCommitInterval is the minimum time between two commits of a shard,
	// [DefaultMinCommitInterval] if zero.
	MinCommitInterval time.Duration
	// MaxOpenBytes is the size of the open part above which it is sealed,
	// [DefaultMaxOpenBytes] if zero.
	MaxOpenBytes int

	once    sync.Once
	ready   chan struct{} // Closed once the drivers are running.
	done    chan struct{} // Closed once Run has returned.
	cancel  context.CancelFunc
	mutex   sync.Mutex
	drivers []*driver
	retrier *retrier
	closed  bool
}

func (s *Service) init() {
	s.once.Do(func() {
		s.ready = make(chan struct{})
		s.done = make(chan struct{})
		s.retrier = &retrier{service: s, wake: make(chan struct{}, 1)}
	})
}

// Run serves the ledger until the context is canceled or Close is called.
func (s *Service) Run(ctx context.Context) error {
	s.init()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !s.start(cancel) {
		return nil
	}
	defer close(s.done)
	shards, err := s.determineShards(ctx)
	if err != nil {
		return nil //nolint:nilerr // The context was canceled before the store responded.
	}
	group, ctx := errgroup.WithContext(ctx)
	s.startDrivers(ctx, group, shards)
	group.Go(s.retrier.loop(ctx))
	close(s.ready)
	return trace.Wrap(group.Wait())
}

func (s *Service) start(cancel context.CancelFunc) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cancel = cancel
	return !s.closed
}

func (s *Service) startDrivers(ctx context.Context, group *errgroup.Group, shards int) {
	for i := range shards {
		d := newDriver(s, i)
		s.drivers = append(s.drivers, d)
		group.Go(d.loop(ctx))
	}
}

// Close stops Run and waits for it to return. Waiting operations fail.
func (s *Service) Close() error {
	s.init()
	s.mutex.Lock()
	s.closed = true
	cancel := s.cancel
	s.mutex.Unlock()
	if cancel == nil {
		return nil
	}
	cancel()
	<-s.done
	return nil
}

// Flush waits until every operation that this node has accepted is written. A
// node calls it after it has left the membership and before Close.
func (s *Service) Flush(ctx context.Context) error {
	if err := s.waitReady(ctx); err != nil {
		return err
	}
	for {
		for _, d := range s.drivers {
			if err := d.waitIdle(ctx); err != nil {
				return err
			}
		}
		if s.retrier.idle() {
			return nil
		}
		select {
		case <-ctx.Done():
			return fault.From(ctx.Err())
		case <-s.Clock.After(flushPollInterval):
		}
	}
}

// waitReady waits until the drivers are running.
func (s *Service) waitReady(ctx context.Context) error {
	s.init()
	select {
	case <-s.done:
		return closedError(fault.NotRun)
	default:
	}
	select {
	case <-s.ready:
		return nil
	case <-s.done:
		return closedError(fault.NotRun)
	case <-ctx.Done():
		return fault.New(fault.DeadlineExceeded, fault.NotRun, "the ledger is not yet available")
	}
}

// writer returns the VM that should write a shard, and whether that is this
// node.
func (s *Service) writer(shard int) (vm string, local bool) {
	if s.Assignment == nil || s.Peers == nil {
		return s.VM, true
	}
	return s.Assignment.Writer(shard)
}

func (s *Service) newToken() string {
	return fmt.Sprintf("%s/%016x%016x", s.VM, s.Random.Uint64(), s.Random.Uint64())
}

func (s *Service) count(name string, shard int) *metrics.Counter {
	return s.Metrics.GetOrCreateCounter(fmt.Sprintf(`%s{shard="%d"}`, name, shard))
}
