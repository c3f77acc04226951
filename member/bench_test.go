package member

import (
	"fmt"
	"runtime"
	"slices"
	"strconv"
	"syscall"
	"testing"
	"time"
)

// BenchmarkFleet runs fleets in virtual time. It reports the cost of membership
// per VM and second, the time until a death is detected, and the time until a new
// revision has propagated. Each iteration is one run with a different seed.
func BenchmarkFleet(b *testing.B) {
	for _, count := range []int{8, 16, 32, 64, 128, 256, 400} {
		for _, loss := range []float64{0, 0.02} {
			b.Run(fmt.Sprintf("vms=%d/loss=%g", count, loss), func(b *testing.B) {
				var m fleetStats
				for i := range b.N {
					m.run(count, loss, uint64(i+1))
				}
				m.report(b)
			})
		}
	}
}

// fleetStats collects the results of the runs.
type fleetStats struct {
	joinTimes        []time.Duration
	bytes            float64 // Sent and received, summed over all VMs.
	peak             float64 // Maximum bytes in one second of any VM.
	messages         float64
	cpu              float64 // CPU seconds of all VMs.
	heap             float64 // Bytes per VM.
	detectionTimes   []time.Duration
	propagationTimes []time.Duration
	suspicions       int
	deaths           int
	nodeSeconds      float64
}

const (
	steadySeconds = 60
	kills         = 6
	revisions     = 6
)

func (m *fleetStats) run(count int, loss float64, seed uint64) {
	f := newFleet(count, min(8, max(1, count/8)), seed)
	f.loss = loss
	f.delay = regionDelay
	for _, address := range f.addresses {
		f.start(f.nodes[address])
	}
	m.measureJoin(f)
	f.run(f.now.Add(10 * time.Second))
	f.deaths = 0
	m.measureSteadyState(f)
	m.measureDetection(f)
	m.measurePropagation(f)
	m.deaths += f.deaths
	m.measureHeap(f)
}

func regionDelay(from, to *node) time.Duration {
	if from.table.Self.Region == to.table.Self.Region {
		return 1500 * time.Microsecond
	}
	return 60 * time.Millisecond
}

// measureJoin waits until every VM has all others in its view as live.
func (m *fleetStats) measureJoin(f *fleet) {
	begin := f.now
	for f.now.Sub(begin) < time.Minute {
		f.run(f.now.Add(100 * time.Millisecond))
		complete := true
		for _, n := range f.nodes {
			complete = complete && len(n.view.Live()) == len(f.nodes)
		}
		if complete {
			break
		}
	}
	m.joinTimes = append(m.joinTimes, f.now.Sub(begin))
}

// measureSteadyState measures the cost at the rate of changes for which the
// system is designed, 1520 restarts and 7300 configuration changes a day: one
// restart and five changes a minute.
func (m *fleetStats) measureSteadyState(f *fleet) {
	f.onView = func(_ *node, v View) { m.countSuspicions(f, v) }
	before, cpu := f.traffic(), processTime()
	for second := range steadySeconds {
		last := f.traffic()
		if second%12 == 0 {
			f.revise(int64(second + 1))
		}
		if second == 20 {
			f.start(f.nodes[f.addresses[0]])
		}
		f.run(f.now.Add(time.Second))
		for id, t := range f.traffic() {
			m.peak = max(m.peak, t.bytes-last[id].bytes)
		}
	}
	m.cpu += (processTime() - cpu).Seconds()
	for id, t := range f.traffic() {
		m.bytes += t.bytes - before[id].bytes
		m.messages += t.messages - before[id].messages
	}
	m.nodeSeconds += float64(steadySeconds * len(f.nodes))
}

type traffic struct{ bytes, messages float64 }

func (f *fleet) traffic() map[string]traffic {
	all := map[string]traffic{}
	for _, n := range f.nodes {
		all[n.id] = traffic{bytes: float64(n.sent + n.received), messages: float64(n.messages)}
	}
	return all
}

// countSuspicions counts the views in which a running VM has just become
// suspect.
func (m *fleetStats) countSuspicions(f *fleet, v View) {
	for _, s := range v.Members() {
		if s.State == Suspect && f.nodes[s.GossipAddress].up && s.Since.Equal(f.now) {
			m.suspicions++
		}
	}
}

// applyRevision sets the revision of n to the higher one of another VM, after the
// round-trip time of a call to that VM.
func applyRevision(f *fleet, n *node, b NewerRevision) {
	wait := 2 * f.delay(n, f.nodes[b.VM.GossipAddress])
	f.push(delivery{at: f.now.Add(wait), to: n.address, event: func() { f.setRevision(n, b.Revision) }})
}

func (f *fleet) setRevision(n *node, revision int64) {
	attributes := n.table.Self.Attributes
	if attributes.Revision < revision {
		attributes.Revision = revision
		f.step(n, AttributesChanged{Attributes: attributes})
	}
}

func (f *fleet) revise(revision int64) {
	f.setRevision(f.nodes[f.addresses[f.random.IntN(len(f.addresses))]], revision)
}

// measureDetection kills one VM at a time and records when each other VM
// considers it dead.
func (m *fleetStats) measureDetection(f *fleet) {
	for k := range kills {
		victim := f.nodes[f.addresses[k*len(f.addresses)/kills]]
		victim.up = false
		killed := f.now
		seen := map[string]bool{}
		f.onView = func(n *node, v View) {
			if s, _ := v.Find(victim.id); s.State == Dead && !seen[n.id] {
				seen[n.id] = true
				m.detectionTimes = append(m.detectionTimes, f.now.Sub(killed))
			}
		}
		f.run(f.now.Add(10 * time.Second))
		f.onView = nil
		f.start(victim)
		f.run(f.now.Add(5 * time.Second))
	}
}

// measurePropagation changes the revision of one VM and records when each VM has it.
func (m *fleetStats) measurePropagation(f *fleet) {
	for r := range revisions {
		revision := int64(1000 + r)
		begin, seen := f.now, map[string]bool{}
		f.onView = func(n *node, v View) {
			if v.Self.Attributes.Revision == revision && !seen[n.id] {
				seen[n.id] = true
				m.propagationTimes = append(m.propagationTimes, f.now.Sub(begin))
			}
		}
		f.revise(revision)
		f.run(f.now.Add(10 * time.Second))
	}
	f.onView = nil
}

func (m *fleetStats) measureHeap(f *fleet) {
	var with, without runtime.MemStats
	count := float64(len(f.nodes))
	runtime.GC()
	runtime.ReadMemStats(&with)
	f.nodes, f.queue = nil, nil
	runtime.GC()
	runtime.ReadMemStats(&without)
	m.heap = float64(with.HeapAlloc-without.HeapAlloc) / count
}

func (m *fleetStats) report(b *testing.B) {
	b.ReportMetric(m.bytes/m.nodeSeconds, "B/vm-s")
	b.ReportMetric(m.peak, "peak-B/vm-s")
	b.ReportMetric(m.messages/m.nodeSeconds, "msg/vm-s")
	b.ReportMetric(m.cpu/m.nodeSeconds*1e6, "cpu-us/vm-s")
	b.ReportMetric(m.heap/1024, "KiB/vm")
	b.ReportMetric(quantile(m.joinTimes, 1), "join-max-s")
	b.ReportMetric(quantile(m.detectionTimes, 0.5), "dead-p50-s")
	b.ReportMetric(quantile(m.detectionTimes, 0.99), "dead-p99-s")
	b.ReportMetric(quantile(m.detectionTimes, 1), "dead-max-s")
	b.ReportMetric(float64(len(m.detectionTimes)), "dead-seen")
	b.ReportMetric(quantile(m.propagationTimes, 0.5), "rev-p50-s")
	b.ReportMetric(quantile(m.propagationTimes, 1), "rev-max-s")
	b.ReportMetric(float64(len(m.propagationTimes)), "rev-seen")
	b.ReportMetric(float64(m.suspicions), "false-suspicions")
	b.ReportMetric(float64(m.deaths), "false-deaths")
	b.ReportMetric(0, "ns/op")
}

func quantile(times []time.Duration, q float64) float64 {
	if len(times) == 0 {
		return -1
	}
	slices.Sort(times)
	return times[int(q*float64(len(times)-1))].Seconds()
}

// processTime returns the CPU time used by the process.
func processTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkOwner measures the lookup of the owner of a key, which is on the
// request path.
func BenchmarkOwner(b *testing.B) {
	for _, count := range []int{8, 400} {
		b.Run("vms="+strconv.Itoa(count), func(b *testing.B) {
			var members []VM
			for i := range count {
				members = append(members, VM{ID: fmt.Sprintf("vm-%03d", i), Attributes: Attributes{Ready: true}})
			}
			v := View{members: members, owners: newOwners(members)}
			b.ReportAllocs()
			for b.Loop() {
				v.Owner("generate/domain-07/3")
			}
		})
	}
}
