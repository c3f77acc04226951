package news

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"bergamotworks/member"
	"bergamotworks/ports"
	"bergamotworks/site"
)

// MethodFetch asks a node for what it knows.
const MethodFetch = "news.tell"

const (
	readInterval   = 1050 * time.Millisecond // Between two readings of the directory.
	failedInterval = 300 * time.Millisecond  // Between two tries while the store does not answer.
	// fleetTryInterval is the time between two tries, of all VMs together, while
	// none of those that they rely on reads the store.
	fleetTryInterval = 50 * time.Millisecond
	readTimeout      = 800 * time.Millisecond
	// watchTime bounds the time for which a connection that fell silent hides
	// what operators write.
	watchTime  = 2 * time.Second
	askTimeout = 400 * time.Millisecond
	askedPeers = 2 // Nodes asked at once for news.
)

// Source reads the store.
type Source interface {
	// Directory returns the targets that are registered, without departures.
	Directory(ctx context.Context) (site.Directory, error)
	// Operated returns the configuration and the failure domains that are
	// taken out, with the store's revision. An unknown configuration means
	// that the store holds none.
	OperatorState(ctx context.Context) (OperatorState, error)
	// Await returns once the configuration or the failure domains have changed
	// after a revision, or the time is over. It returns the revision to go on
	// from, or zero after a change.
	WaitForChange(ctx context.Context, revision int64, wait time.Duration) (int64, error)
}

// OperatorState is what operators have written into the store.
type OperatorState struct {
	Config         site.Config
	DrainedDomains []string
	Revision       int64
}

// PeerCaller calls methods of other nodes.
type PeerCaller interface {
	Call(ctx context.Context, vm, method string, params, result any) error
}

// Service follows the store and the other nodes. The exported fields are set
// before [Service.Run].
type Service struct {
	Self    string
	Source  Source
	Peers   PeerCaller
	View    func() member.View
	Clock   ports.Clock
	Random  ports.Random
	Log     *logrus.Entry
	Metrics *metrics.Set

	mutex sync.Mutex
	state State
	heard time.Time // Last success with the store.
	tried time.Time // Last failure to read the directory; of the loop only.
}

// known is what one node tells another.
type known struct {
	Version    int64 `json:"version"`    // Of the configuration.
	Revision   int64 `json:"revision"`   // Of the directory.
	Departures int64 `json:"departures"` // Revision of the departures.
}

// told answers with what is newer.
type told struct {
	Config     *site.Config    `json:"config,omitempty"`
	Directory  *site.Directory `json:"directory,omitempty"`
	Departures *DrainedDomains `json:"departures,omitempty"`
	// Now is the time of the teller's clock.
	Now time.Time `json:"now"`
	// Age is the time since the teller knew what the store says.
	Age time.Duration `json:"age_ns"`
	// Keep is how long entries that have lapsed are still kept.
	Keep time.Duration `json:"keep_ns,omitempty"`
}

// Run follows the store until the context ends.
func (s *Service) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.loopOperated(ctx) })
	group.Go(func() error { return s.loopDirectory(ctx) })
	return group.Wait()
}

// Config returns the configuration in force.
func (s *Service) Config() site.Config {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state.Config()
}

// Directory returns the directory in force.
func (s *Service) Directory() site.Directory {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state.Directory()
}

// TimeSinceStoreRead returns the time since the store was last read.
func (s *Service) TimeSinceStoreRead() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.Clock.Now().Sub(s.heard)
}

// loopOperated follows what operators write.
func (s *Service) loopOperated(ctx context.Context) error {
	var revision int64 // Zero if the keys are to be read.
	for ctx.Err() == nil {
		if !s.reads() {
			revision = 0
			if !s.pause(ctx, listenInterval) {
				return nil
			}
			continue
		}
		var err error
		if revision == 0 {
			revision, err = s.readOperated(ctx)
		} else {
			revision, err = s.Source.WaitForChange(ctx, revision, watchTime)
		}
		if err == nil {
			continue
		}
		revision = 0
		if !s.pause(ctx, failedInterval) {
			return nil
		}
	}
	return nil
}

func (s *Service) readOperated(ctx context.Context) (int64, error) {
	calling, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	o, err := s.Source.OperatorState(calling)
	if err != nil {
		s.failed(ctx, "configuration", err)
		return 0, err
	}
	s.mutex.Lock()
	change := s.state.Read(s.Clock.Now(), Snapshot{
		Config: o.Config, DrainedDomains: &DrainedDomains{Domains: o.DrainedDomains, Revision: o.Revision},
	})
	s.mutex.Unlock()
	s.changed(change, "store")
	return o.Revision, nil
}

// loopDirectory reads the directory again and again.
func (s *Service) loopDirectory(ctx context.Context) error {
	for {
		if !s.rest(ctx, s.follow(ctx)) {
			return nil
		}
	}
}

// follow learns of the directory once and returns the time until the next try.
func (s *Service) follow(ctx context.Context) time.Duration {
	listens := !s.reads()
	if listens && s.listen(ctx) {
		return listenInterval
	}
	if listens && s.Clock.Now().Sub(s.tried) < s.tryInterval() {
		return failedInterval
	}
	if s.readDirectory(ctx) == nil {
		return readInterval
	}
	s.tried = s.Clock.Now()
	s.ask(ctx)
	return failedInterval
}

// tryInterval returns the time between two tries of a VM that relies on others
// while none of them reads the store. A whole fleet would flood a store that
// comes back.
func (s *Service) tryInterval() time.Duration {
	return max(readInterval, time.Duration(len(s.View().Live()))*fleetTryInterval)
}

// rest waits for the next reading and drops entries meanwhile that are kept no
// longer.
func (s *Service) rest(ctx context.Context, wait time.Duration) bool {
	s.mutex.Lock()
	kept := s.state.GraceRemaining(s.Clock.Now())
	s.mutex.Unlock()
	if kept > 0 && kept < wait {
		if !s.pause(ctx, kept) {
			return false
		}
		wait -= kept
	}
	s.mutex.Lock()
	change := s.state.ExpireGrace(s.Clock.Now())
	s.mutex.Unlock()
	s.changed(change, "time")
	return s.pause(ctx, wait)
}

func (s *Service) readDirectory(ctx context.Context) error {
	calling, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	d, err := s.Source.Directory(calling)
	if err != nil {
		s.failed(ctx, "directory", err)
		return err
	}
	s.mutex.Lock()
	silence := s.Clock.Now().Sub(s.heard)
	regained := s.state.outage
	s.heard = s.Clock.Now()
	change := s.state.Read(s.heard, Snapshot{Directory: d})
	s.mutex.Unlock()
	if regained {
		s.Log.WithFields(logrus.Fields{"silent_ms": silence.Milliseconds(), "revision": d.Revision}).Info("store read again")
	}
	s.changed(change, "store")
	return nil
}

func (s *Service) pause(ctx context.Context, wait time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-s.Clock.After(wait):
		return true
	}
}

// failed notes a failed reading.
func (s *Service) failed(ctx context.Context, what string, err error) {
	if ctx.Err() != nil {
		return
	}
	s.mutex.Lock()
	s.state.StoreReadFailed()
	silence := s.Clock.Now().Sub(s.heard)
	s.mutex.Unlock()
	s.Metrics.GetOrCreateCounter("news_failed_reads_total").Inc()
	s.Log.WithFields(logrus.Fields{"what": what, "silent_ms": silence.Milliseconds(), "error": err.Error()}).Warn("store not read")
}

// changed logs what has changed.
func (s *Service) changed(c Change, from string) {
	if c.Config {
		config := s.Config()
		s.Log.WithFields(logrus.Fields{"version": config.Version, "routes": len(config.Routes), "accounts": len(config.Accounts), "from": from}).Info("configuration in force")
	}
	if c.DrainedDomains {
		d := s.Directory()
		s.Log.WithFields(logrus.Fields{"domains": slices.Sorted(maps.Keys(d.DrainedDomains)), "revision": d.Revision, "from": from}).Info("failure domains taken out")
	}
	if len(c.Added)+len(c.Removed) > 0 {
		s.Log.WithFields(logrus.Fields{"joined": few(c.Added), "left": few(c.Removed), "revision": s.Directory().Revision, "from": from}).Info("targets changed")
	}
}

// maxLogged bounds the identifiers on one line.
const maxLogged = 8

// few returns the first of many identifiers.
func few(ids []string) []string { return ids[:min(len(ids), maxLogged)] }
