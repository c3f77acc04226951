package node

import (
	"context"
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"bergamotworks/ports"
	"bergamotworks/store"
)

// BenchmarkIdleFleet runs complete nodes over loopback without requests, and
// reports the cost of one node: CPU time, memory, datagrams and store calls.
func BenchmarkIdleFleet(b *testing.B) {
	for _, size := range []int{8, 16, 32, 64, 128} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			for b.Loop() {
				measureIdleFleet(b, size)
			}
		})
	}
}

const (
	settleTime  = 3 * time.Second // Time between the start of the fleet and the measurement.
	measureTime = 5 * time.Second
)

func measureIdleFleet(b *testing.B, size int) {
	b.Helper()
	before := memoryInUse()
	counted := &countedStore{Store: &store.Memory{}}
	f := newFleetWithStore(b, size, counted)
	time.Sleep(settleTime)
	reads, commits := counted.reads.Load(), counted.commits.Load()
	bytes, used := f.datagramBytes(), cpuTime(b)
	time.Sleep(measureTime)
	used = cpuTime(b) - used
	seconds := measureTime.Seconds()
	nodes := float64(size)
	b.ReportMetric(float64(used.Microseconds())/seconds/nodes, "cpu-us/node-s")
	b.ReportMetric((f.datagramBytes()-bytes)/seconds/nodes, "gossip-B/node-s")
	b.ReportMetric(float64(counted.reads.Load()-reads)/seconds, "store-reads/s")
	b.ReportMetric(float64(counted.commits.Load()-commits)/seconds, "store-commits/s")
	b.ReportMetric(float64(counted.watches.Load()), "store-watches")
	b.ReportMetric(float64(memoryInUse()-before)/(1<<20)/nodes, "MiB/node")
	f.close()
}

// datagramBytes returns the total number of membership bytes sent and received
// by all nodes.
func (f *fleet) datagramBytes() float64 {
	sum := 0.0
	for _, n := range f.nodes {
		sum += float64(n.Metrics().GetOrCreateCounter("member_bytes_sent_total").Get())
		sum += float64(n.Metrics().GetOrCreateCounter("member_bytes_received_total").Get())
	}
	return sum
}

func memoryInUse() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// countedStore counts the calls of a store and the open watches.
type countedStore struct {
	ports.Store
	reads, commits, watches atomic.Int64
}

func (c *countedStore) Range(ctx context.Context, request ports.RangeRequest) (ports.RangeResponse, error) {
	c.reads.Add(1)
	return c.Store.Range(ctx, request)
}

func (c *countedStore) Commit(ctx context.Context, txn ports.Txn) (ports.TxnResponse, error) {
	c.commits.Add(1)
	return c.Store.Commit(ctx, txn)
}

func (c *countedStore) Watch(ctx context.Context, request ports.WatchRequest) (ports.Watcher, error) {
	watcher, err := c.Store.Watch(ctx, request)
	if err != nil {
		return nil, err
	}
	c.watches.Add(1)
	return &countedWatcher{Watcher: watcher, store: c}, nil
}

type countedWatcher struct {
	ports.Watcher
	store  *countedStore
	closed atomic.Bool
}

func (w *countedWatcher) Close() error {
	if w.closed.CompareAndSwap(false, true) {
		w.store.watches.Add(-1)
	}
	return w.Watcher.Close()
}
