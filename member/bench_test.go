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

// BenchmarkFleet runs fleets in virtual time and reports per VM and second
// what the membership costs, how fast it sees a death and how fast a new
// revision spreads. One iteration is one run with another seed.
func BenchmarkFleet(b *testing.B) {
	for _, count := range []int{8, 16, 32, 64, 128, 256, 400} {
		for _, loss := range []float64{0, 0.02} {
			b.Run(fmt.Sprintf("vms=%d/loss=%g", count, loss), func(b *testing.B) {
				var m measures
				for i := range b.N {
					m.run(count, loss, uint64(i+1))
				}
				m.report(b)
			})
		}
	}
}

// measures collects what one fleet did.
type measures struct {
	joined      []time.Duration
	bytes       float64 // Per VM and second, sent and received.
	peak        float64 // The busiest second of any VM, in bytes.
	messages    float64
	cpu         float64 // Share of a core per VM.
	heap        float64 // Bytes per VM.
	detection   []time.Duration
	spread      []time.Duration
	suspicions  int
	deaths      int
	nodeSeconds float64
}

const (
	steadySeconds = 60
	kills         = 6
	revisions     = 6
)

func (m *measures) run(count int, loss float64, seed uint64) {
	f := newFleet(count, min(8, max(1, count/8)), seed)
	f.loss = loss
	f.delay = regionDelay
	for _, name := range f.names {
		f.start(f.nodes[name])
	}
	m.join(f)
	f.run(f.now.Add(10 * time.Second))
	f.deaths = 0
	m.steady(f)
	m.killSome(f)
	m.spreadSome(f)
	m.deaths += f.deaths
	m.measureHeap(f)
}

func regionDelay(from, to *node) time.Duration {
	if from.table.Self.Region == to.table.Self.Region {
		return 1500 * time.Microsecond
	}
	return 60 * time.Millisecond
}

// join waits until every VM knows every other.
func (m *measures) join(f *fleet) {
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
	m.joined = append(m.joined, f.now.Sub(begin))
}

// steady measures the cost under the changes of the target size, 1520 restarts
// and 7300 configuration changes a day: one restart and five changes a minute.
func (m *measures) steady(f *fleet) {
	f.onView = func(_ *node, v View) { m.countSuspicions(f, v) }
	before, cpu := f.traffic(), processTime()
	for second := range steadySeconds {
		last := f.traffic()
		if second%12 == 0 {
			f.revise(int64(second + 1))
		}
		if second == 20 {
			f.start(f.nodes[f.names[0]])
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

// countSuspicions counts the views in which a running VM has become suspect.
func (m *measures) countSuspicions(f *fleet, v View) {
	for _, s := range v.Members() {
		if s.State == Suspect && f.nodes[s.GossipAddress].up && s.Since.Equal(f.now) {
			m.suspicions++
		}
	}
}

// adopt takes over a higher revision after the time of a call to its holder.
func adopt(f *fleet, n *node, b NewerRevision) {
	wait := 2 * f.delay(n, f.nodes[b.VM.GossipAddress])
	f.push(delivery{at: f.now.Add(wait), to: n.address, event: func() { f.set(n, b.Revision) }})
}

func (f *fleet) set(n *node, revision int64) {
	attributes := n.table.Self.Attributes
	if attributes.Revision < revision {
		attributes.Revision = revision
		f.step(n, AttributesChanged{Attributes: attributes})
	}
}

func (f *fleet) revise(revision int64) {
	f.set(f.nodes[f.names[f.random.IntN(len(f.names))]], revision)
}

// killSome kills one VM at a time and notes when each other VM knows.
func (m *measures) killSome(f *fleet) {
	for k := range kills {
		victim := f.nodes[f.names[k*len(f.names)/kills]]
		victim.up = false
		killed := f.now
		seen := map[string]bool{}
		f.onView = func(n *node, v View) {
			if s, _ := v.Find(victim.id); s.State == Dead && !seen[n.id] {
				seen[n.id] = true
				m.detection = append(m.detection, f.now.Sub(killed))
			}
		}
		f.run(f.now.Add(10 * time.Second))
		f.onView = nil
		f.start(victim)
		f.run(f.now.Add(5 * time.Second))
	}
}

// spreadSome changes the revision of one VM and notes when the last VM has it.
func (m *measures) spreadSome(f *fleet) {
	for r := range revisions {
		revision := int64(1000 + r)
		begin, seen := f.now, map[string]bool{}
		f.onView = func(n *node, v View) {
			if v.Self.Attributes.Revision == revision && !seen[n.id] {
				seen[n.id] = true
				m.spread = append(m.spread, f.now.Sub(begin))
			}
		}
		f.revise(revision)
		f.run(f.now.Add(10 * time.Second))
	}
	f.onView = nil
}

func (m *measures) measureHeap(f *fleet) {
	var with, without runtime.MemStats
	count := float64(len(f.nodes))
	runtime.GC()
	runtime.ReadMemStats(&with)
	f.nodes, f.queue = nil, nil
	runtime.GC()
	runtime.ReadMemStats(&without)
	m.heap = float64(with.HeapAlloc-without.HeapAlloc) / count
}

func (m *measures) report(b *testing.B) {
	b.ReportMetric(m.bytes/m.nodeSeconds, "B/vm-s")
	b.ReportMetric(m.peak, "peak-B/vm-s")
	b.ReportMetric(m.messages/m.nodeSeconds, "msg/vm-s")
	b.ReportMetric(m.cpu/m.nodeSeconds*1e6, "cpu-us/vm-s")
	b.ReportMetric(m.heap/1024, "KiB/vm")
	b.ReportMetric(quantile(m.joined, 1), "join-max-s")
	b.ReportMetric(quantile(m.detection, 0.5), "dead-p50-s")
	b.ReportMetric(quantile(m.detection, 0.99), "dead-p99-s")
	b.ReportMetric(quantile(m.detection, 1), "dead-max-s")
	b.ReportMetric(float64(len(m.detection)), "dead-seen")
	b.ReportMetric(quantile(m.spread, 0.5), "rev-p50-s")
	b.ReportMetric(quantile(m.spread, 1), "rev-max-s")
	b.ReportMetric(float64(len(m.spread)), "rev-seen")
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

// processTime returns the processor time that the process has used.
func processTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkOwner measures the ownership of a key, which is on the request path.
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
