package member

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkSplit takes one of eight regions from the others for a time, and
// reports how long the merge takes, how many VMs of the own side were declared
// dead by it, and what the busiest second moved.
func BenchmarkSplit(b *testing.B) {
	for _, count := range []int{64, 400} {
		for _, apart := range []time.Duration{10 * time.Second, 3 * time.Minute} {
			b.Run(fmt.Sprintf("vms=%d/apart=%s", count, apart), func(b *testing.B) {
				var s split
				for i := range b.N {
					s.run(count, apart, uint64(i+1))
				}
				s.report(b)
			})
		}
	}
}

type split struct {
	merge  []time.Duration
	deaths int // Of VMs that the observer could reach.
	epochs uint64
	peak   float64
}

func (s *split) run(count int, apart time.Duration, seed uint64) {
	f := newFleet(count, 8, seed)
	f.delay = regionDelay
	for _, name := range f.names {
		f.start(f.nodes[name])
	}
	f.run(f.now.Add(time.Minute))
	away := f.expand([]string{"region-3"})
	for _, a := range away {
		for _, name := range f.names {
			if other := f.nodes[name]; other.table.Self.Region != "region-3" {
				f.cut(a, other.id)
				f.cut(other.id, a)
			}
		}
	}
	f.deaths = 0
	expected := 2 * len(away) * (count - len(away))
	f.seconds(apart, s)
	clear(f.cuts)
	healed := f.now
	for f.now.Sub(healed) < 5*time.Minute && !f.whole() {
		f.seconds(time.Second, s)
	}
	s.merge = append(s.merge, f.now.Sub(healed))
	f.seconds(30*time.Second, s)
	s.deaths += f.deaths - expected
	for _, n := range f.nodes {
		s.epochs += n.view.Epoch
	}
}

// seconds lets time pass and notes the busiest second of any VM.
func (f *fleet) seconds(wait time.Duration, s *split) {
	for end := f.now.Add(wait); f.now.Before(end); {
		last := f.traffic()
		f.run(f.now.Add(time.Second))
		for id, t := range f.traffic() {
			s.peak = max(s.peak, t.bytes-last[id].bytes)
		}
	}
}

// whole reports whether every VM sees every other.
func (f *fleet) whole() bool {
	for _, n := range f.nodes {
		if len(n.view.Live()) != len(f.nodes) {
			return false
		}
	}
	return true
}

func (s *split) report(b *testing.B) {
	b.ReportMetric(quantile(s.merge, 1), "merge-max-s")
	b.ReportMetric(float64(s.deaths), "extra-deaths")
	b.ReportMetric(float64(s.epochs), "epochs")
	b.ReportMetric(s.peak, "peak-B/vm-s")
	b.ReportMetric(0, "ns/op")
}
