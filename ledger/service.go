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

// Caller calls a method of another node. An error with the verdict NotRun
// means that the call was never sent.
type Caller interface {
	Call(ctx context.Context, vm string, method string, params, result any) error
}

// Assignment names the writers of shards.
type Assignment interface {
	// Writer returns the VM that should write a shard, and whether that is
	// this node.
	Writer(shard int) (vm string, local bool)
}

// flushPause is the time between two looks at what is left to write.
const flushPause = 20 * time.Millisecond

// Service is the ledger of one node. Set the exported fields before Run.
type Service struct {
	// VM is this node's name. It becomes part of every token.
	VM string
	// Store holds the journals.
	Store ports.Store
	// Peers reaches the writers of shards. Nil means that there is no other node.
	Peers Caller
	// Owners names the writers. Nil means that this node writes every shard.
	Assignment Assignment
	// Clock tells the time; it decides on retention and waiting only.
	Clock ports.Clock
	// Random makes tokens.
	Random ports.Random
	// Log receives failures of the store and of peers.
	Log logrus.FieldLogger
	// Metrics receives the counters of this node.
	Metrics *metrics.Set
	// Limits returns the limits that are in force.
	Limits func() note.Limits
	// Interval is the least time between two commits of a shard,
	// [DefaultInterval] if zero.
	MinCommitInterval time.Duration
	// OpenBytes is the size at which an open part is sealed,
	// [DefaultOpenBytes] if zero.
	MaxOpenBytes int

	once     sync.Once
	ready    chan struct{} // Closed once the drivers run.
	ended    chan struct{} // Closed once Run has returned.
	cancel   context.CancelFunc
	mutex    sync.Mutex
	drivers  []*driver
	repeater *repeater
	closed   bool
}

func (s *Service) init() {
	s.once.Do(func() {
		s.ready = make(chan struct{})
		s.ended = make(chan struct{})
		s.repeater = &repeater{service: s, wake: make(chan struct{}, 1)}
	})
}

// Run serves the ledger until the context ends or Close is called.
func (s *Service) Run(ctx context.Context) error {
	s.init()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	if !s.start(stop) {
		return nil
	}
	defer close(s.ended)
	shards, err := s.settleShards(ctx)
	if err != nil {
		return nil //nolint:nilerr // The context has ended before the store answered.
	}
	group, ctx := errgroup.WithContext(ctx)
	s.startDrivers(ctx, group, shards)
	group.Go(s.repeater.loop(ctx))
	close(s.ready)
	return trace.Wrap(group.Wait())
}

func (s *Service) start(stop context.CancelFunc) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cancel = stop
	return !s.closed
}

func (s *Service) startDrivers(ctx context.Context, group *errgroup.Group, shards int) {
	for i := range shards {
		d := newDriver(s, i)
		s.drivers = append(s.drivers, d)
		group.Go(d.loop(ctx))
	}
}

// Close ends Run and waits for it. Operations that wait are refused.
func (s *Service) Close() error {
	s.init()
	s.mutex.Lock()
	s.closed = true
	stop := s.cancel
	s.mutex.Unlock()
	if stop == nil {
		return nil
	}
	stop()
	<-s.ended
	return nil
}

// Flush waits until every operation that this node holds is written. A node
// calls it after its membership has ended and before Close.
func (s *Service) Flush(ctx context.Context) error {
	if err := s.await(ctx); err != nil {
		return err
	}
	for {
		for _, d := range s.drivers {
			if err := d.flush(ctx); err != nil {
				return err
			}
		}
		if s.repeater.idle() {
			return nil
		}
		select {
		case <-ctx.Done():
			return fault.From(ctx.Err())
		case <-s.Clock.After(flushPause):
		}
	}
}

// await waits until the drivers run.
func (s *Service) await(ctx context.Context) error {
	s.init()
	select {
	case <-s.ended:
		return closedError(fault.NotRun)
	default:
	}
	select {
	case <-s.ready:
		return nil
	case <-s.ended:
		return closedError(fault.NotRun)
	case <-ctx.Done():
		return fault.New(fault.DeadlineExceeded, fault.NotRun, "the ledger is not yet available")
	}
}

// writer returns the VM that should write a shard.
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
