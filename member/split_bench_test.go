package member

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkSplit partitions one of eight regions from the others for a time,
// and reports how long the merge takes, the number of deaths beyond those that
// the partition explains, the sum of the epochs, and the maximum traffic of a VM
// in one second. Deaths and epochs are totals of all runs.
func BenchmarkSplit(b *testing.B) {
	for _, count := range []int{64, 400} {
		for _, duration := range []time.Duration{10 * time.Second, 3 * time.Minute} {
			b.Run(fmt.Sprintf("vms=%d/apart=%s", count, duration), func(b *testing.B) {
				var s splitStats
				for i := range b.N {
					s.run(count, duration, uint64(i+1))
				}
				s.report(b)
			})
		}
	}
}

type splitStats struct {
	mergeTimes []time.Duration
	// deaths is the number of deaths, counted per observer, beyond one for each
	// ordered pair of separated VMs.
	deaths int
	epochs uint64
	peak   float64 // Maximum traffic of a VM, in bytes per second.
}

func (s *splitStats) run(count int, duration time.Duration, seed uint64) {
	f := newFleet(count, 8, seed)
	f.delay = regionDelay
	for _, address := range f.addresses {
		f.start(f.nodes[address])
	}
	f.run(f.now.Add(time.Minute))
	separated := f.expand([]string{"region-3"})
	for _, a := range separated {
		for _, address := range f.addresses {
			if other := f.nodes[address]; other.table.Self.Region != "region-3" {
				f.block(a, other.id)
				f.block(other.id, a)
			}
		}
	}
	f.deaths = 0
	expected := 2 * len(separated) * (count - len(separated))
	f.runSeconds(duration, s)
	clear(f.blocked)
	healed := f.now
	for f.now.Sub(healed) < 5*time.Minute && !f.converged() {
		f.runSeconds(time.Second, s)
	}
	s.mergeTimes = append(s.mergeTimes, f.now.Sub(healed))
	f.runSeconds(30*time.Second, s)
	s.deaths += f.deaths - expected
	for _, n := range f.nodes {
		s.epochs += n.view.Epoch
	}
}

// runSeconds advances virtual time and records the maximum traffic of any VM in
// one second.
func (f *fleet) runSeconds(wait time.Duration, s *splitStats) {
	for end := f.now.Add(wait); f.now.Before(end); {
		last := f.traffic()
		f.run(f.now.Add(time.Second))
		for id, t := range f.traffic() {
			s.peak = max(s.peak, t.bytes-last[id].bytes)
		}
	}
}

// converged reports whether every VM has all others in its view as live.
func (f *fleet) converged() bool {
	for _, n := range f.nodes {
		if len(n.view.Live()) != len(f.nodes) {
			return false
		}
	}
	return true
}

func (s *splitStats) report(b *testing.B) {
	b.ReportMetric(quantile(s.mergeTimes, 1), "merge-max-s")
	b.ReportMetric(float64(s.deaths), "extra-deaths")
	b.ReportMetric(float64(s.epochs), "epochs")
	b.ReportMetric(s.peak, "peak-B/vm-s")
	b.ReportMetric(0, "ns/op")
}
