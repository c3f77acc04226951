package node

import (
	"runtime"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// BenchmarkLookup measures non-streaming single-stage requests through one node
// to targets that respond immediately. It reports the rate per CPU core used by
// the process, which includes the clients and targets.
func BenchmarkLookup(b *testing.B) {
	f := newFleet(b, 1)
	address := f.nodes[0].Address()
	var next atomic.Int64
	post(b, address, "lookup", "", "warm")
	b.ReportAllocs()
	before := cpuTime(b)
	started := time.Now()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if status, body := post(b, address, "lookup", "", next.Add(1)); status != 200 {
				b.Errorf("status %d: %s", status, body)
			}
		}
	})
	used := cpuTime(b) - before
	b.ReportMetric(float64(b.N)/used.Seconds(), "req/core-s")
	b.ReportMetric(float64(b.N)/time.Since(started).Seconds(), "req/s")
}

// BenchmarkAddedLatency measures sequential requests through a node, and the
// same requests sent directly to the target.
func BenchmarkAddedLatency(b *testing.B) {
	f := newFleet(b, 1)
	for _, path := range []string{"direct", "node"} {
		b.Run(path, func(b *testing.B) {
			h := hdrhistogram.New(1, int64(10*time.Second), 3)
			for i := range b.N {
				started := time.Now()
				if path == "node" {
					post(b, f.nodes[0].Address(), "lookup", "", strconv.Itoa(i))
				} else {
					post(b, f.targets[0].listener.Addr().String(), "lookup", "", strconv.Itoa(i))
				}
				_ = h.RecordValue(int64(time.Since(started)))
			}
			b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, "p50-us")
			b.ReportMetric(float64(h.ValueAtQuantile(99))/1000, "p99-us")
		})
	}
	runtime.KeepAlive(f)
}

// cpuTime returns the CPU time used by the process.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkTakeover closes, without a planned shutdown, the node that owns the
// only pool of a fleet of 8, and measures the latency of a request that arrives
// at that moment.
func BenchmarkTakeover(b *testing.B) {
	for range b.N {
		b.StopTimer()
		f := newFleet(b, 8)
		post(b, f.nodes[0].Address(), "lookup", "", "warm")
		// The key is the name of the pool: service, failure domain and index.
		owner, _ := f.nodes[0].members.View().Owner("plain/north/0")
		rest := f.others(owner.ID)
		_ = f.find(owner.ID).Close()
		b.StartTimer()
		status, body := post(b, rest[0].Address(), "lookup", "", "after")
		b.StopTimer()
		if status != 200 {
			b.Errorf("status %d: %s", status, body)
		}
		b.StartTimer()
	}
}

func (f *fleet) find(vm string) *Node {
	for _, n := range f.nodes {
		if n.Settings.VM == vm {
			return n
		}
	}
	return nil
}

func (f *fleet) others(vm string) []*Node {
	var rest []*Node
	for _, n := range f.nodes {
		if n.Settings.VM != vm {
			rest = append(rest, n)
		}
	}
	return rest
}
