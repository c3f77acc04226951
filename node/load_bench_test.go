package node

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/time/rate"
)

const (
	requestRate = 9000 // Requests per second.
	loadWorkers = 64
)

// BenchmarkHalfLoad measures the latency of requests at a constant rate,
// through the node and directly to a target.
func BenchmarkHalfLoad(b *testing.B) {
	f := newFleet(b, 1)
	paths := []struct{ name, address string }{
		{"direct", f.targets[0].listener.Addr().String()},
		{"node", f.nodes[0].Address()},
	}
	for _, p := range paths {
		b.Run(p.name, func(b *testing.B) {
			l := &loader{b: b, address: p.address, limiter: rate.NewLimiter(requestRate, 1), times: hdrhistogram.New(1, int64(10*time.Second), 3)}
			l.done.Add(loadWorkers)
			for range loadWorkers {
				go l.run()
			}
			l.done.Wait()
			b.ReportMetric(float64(l.times.ValueAtQuantile(50))/1000, "p50-us")
			b.ReportMetric(float64(l.times.ValueAtQuantile(99))/1000, "p99-us")
		})
	}
}

// loader sends the requests of a benchmark at a limited rate.
type loader struct {
	b       *testing.B
	address string
	limiter *rate.Limiter
	sent    atomic.Int64
	done    sync.WaitGroup
	mutex   sync.Mutex
	times   *hdrhistogram.Histogram
}

func (l *loader) run() {
	defer l.done.Done()
	for l.sent.Add(1) <= int64(l.b.N) {
		_ = l.limiter.Wait(context.Background())
		started := time.Now()
		if status, body := post(l.b, l.address, "lookup", "", strconv.FormatInt(started.UnixNano(), 10)); status != 200 {
			l.b.Errorf("status %d: %s", status, body)
			return
		}
		l.mutex.Lock()
		_ = l.times.RecordValue(int64(time.Since(started)))
		l.mutex.Unlock()
	}
}
