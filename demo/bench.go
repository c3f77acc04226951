package demo

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"bergamotworks/fault"
	"bergamotworks/note"
	"bergamotworks/pool"
	"bergamotworks/store"
	"bergamotworks/trial"
)

// Bench is a [System] as the experiment tool drives it. Nodes and Log are set
// before Start.
type Bench struct {
	Nodes int
	Log   *logrus.Logger

	system *System
	mutex  sync.Mutex // Guards down.
	down   map[int]bool
	offers atomic.Int64
}

// The store's faults in experiments.
const (
	slowStoreMS     = 200
	lostAnswerShare = 0.2
)

// Start starts the nodes over the placed targets. It is a [trial.Starter].
func (b *Bench) Start(ctx context.Context, config note.Config, policy string) (trial.System, error) {
	var p pool.Policy
	if err := p.UnmarshalText([]byte(policy)); err != nil {
		return nil, fault.BadField("policy", "%s", err)
	}
	b.down = make(map[int]bool)
	b.system = &System{Nodes: b.Nodes, Policy: p, Placed: &config, Log: b.Log}
	if err := b.system.Start(ctx); err != nil {
		_ = b.system.Close()
		return nil, err
	}
	return started{b}, nil
}

// started is a bench whose nodes run.
type started struct{ bench *Bench }

// Addresses returns the callers' addresses of the nodes that are ready.
func (s started) Addresses() []string {
	var addresses []string
	for _, i := range s.up() {
		if n := s.bench.system.Node(i); n.Ready() == nil {
			addresses = append(addresses, n.Address())
		}
	}
	return addresses
}

// up returns the nodes that have not been ended.
func (s started) up() []int {
	s.bench.mutex.Lock()
	defer s.bench.mutex.Unlock()
	var up []int
	for i := range s.bench.Nodes {
		if !s.bench.down[i] {
			up = append(up, i)
		}
	}
	return up
}

func (s started) setDown(index int, down bool) {
	s.bench.mutex.Lock()
	defer s.bench.mutex.Unlock()
	s.bench.down[index] = down
}

// Nodes returns the number of nodes.
func (s started) Nodes() int { return s.bench.Nodes }

// KillNode ends a node at once. The balancer learns of it later.
func (s started) KillNode(index int) error {
	s.bench.system.KillNode(index)
	s.setDown(index, true)
	return nil
}

// StopNode ends a node by a graceful shutdown.
func (s started) StopNode(index int) error {
	err := s.bench.system.StopNode(context.Background(), index)
	s.setDown(index, true)
	return err
}

// RestartNode starts a node in the place of an ended one.
func (s started) RestartNode(index int) error {
	if err := s.bench.system.RestartNode(context.Background(), index); err != nil {
		return err
	}
	s.setDown(index, false)
	return nil
}

// Config returns the newest configuration that is in force on a node.
func (s started) Config() note.Config {
	var newest note.Config
	for _, i := range s.up() {
		if c := s.bench.system.Node(i).Notes().Current(); c.Revision >= newest.Revision {
			newest = c
		}
	}
	return newest
}

// Accept offers a release note. One note after the other goes to the next node.
func (s started) Accept(ctx context.Context, change note.Note) error {
	up := s.up()
	if len(up) == 0 {
		return fault.New(fault.Unavailable, fault.NotRun, "no node is up")
	}
	turn := int(s.bench.offers.Add(1))
	_, err := s.bench.system.Node(up[turn%len(up)]).Notes().Offer(ctx, change)
	return err
}

// SetStore changes the state of the store.
func (s started) SetStore(state trial.StoreFault) error {
	faults := s.bench.system.Store()
	faults.Clear()
	switch state {
	case trial.StoreDown:
		faults.Add(store.Fault{Kind: store.FaultDown})
	case trial.StoreSlow:
		faults.Add(store.Fault{Kind: store.FaultSlow, DelayMS: slowStoreMS})
	case trial.StoreLosesAnswers:
		faults.Add(store.Fault{Kind: store.FaultAnswerLost, Share: lostAnswerShare})
	default:
	}
	return nil
}

// Close ends the system and waits for it.
func (s started) Close() error { return s.bench.system.Close() }
