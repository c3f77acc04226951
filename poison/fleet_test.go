package poison_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bergamotworks/poison"
	"bergamotworks/script"
)

// The bounds on a fleet in which requests with one part in their prompts crash
// targets.
const (
	settlingTime   = 3 * time.Second // After the fifth crash.
	maxLateCrashes = 3               // Sent after the settling time.
	// minServedShare is the share of the sound requests that must be sent to targets
	// from twice the settling time after the fifth crash.
	minServedShare = 0.5
	// maxShortSeeds is the number of seeds of a load in short runs, such as those
	// under the race detector.
	maxShortSeeds = 4
)

// fleetLoad is the load on a fleet of nodes in virtual time. Each node has a tracker;
// evidence reaches the other nodes after a random delay.
type fleetLoad struct {
	Description string `json:"load"`
	Seeds       int    `json:"seeds"`
	Nodes       int    `json:"nodes"`
	Targets     int    `json:"targets"`
	Seconds     int    `json:"seconds"`
	// CrashesFrom and CrashesUntil bound the time in seconds in which requests
	// arrive that crash their targets, CrashRate of them a second.
	CrashesFrom  float64 `json:"crashes_from"`
	CrashesUntil float64 `json:"crashes_until"`
	CrashRate    float64 `json:"crash_rate"`
	SoundRate    float64 `json:"sound_rate"` // Sound requests a second.
	// FirstParts is the number of different first parts of prompts. The requests
	// that crash targets have one of them, or any if MixedFirst is set.
	FirstParts int  `json:"first_parts"`
	MixedFirst bool `json:"mixed_first"`
	// AllLost are times in seconds at which all targets are lost at once.
	AllLost []float64 `json:"all_lost"`
	// Restarts are times in seconds at which a node loses what it knows; it gets
	// the evidence that has not expired from the others.
	Restarts   []float64 `json:"restarts"`
	MaxDelayMS int       `json:"max_delay_ms"` // Of evidence.
	// RollFrom is the time in seconds at which the nodes begin to restart in turn,
	// RollGap seconds apart, RollCount times in all. The next node has the quarantines
	// meanwhile.
	RollFrom  float64 `json:"roll_from"`
	RollGap   float64 `json:"roll_gap"`
	RollCount int     `json:"roll_count"`
	MinProbes int     `json:"min_probes"` // Least number of requests that are let through as probes.
}

func TestFleetFindsPartThatCrashesTargets(t *testing.T) {
	script.Run(t, "testdata/fleet/*.json", func(t *testing.T, load fleetLoad) {
		seeds := load.Seeds
		if testing.Short() {
			seeds = min(seeds, maxShortSeeds)
		}
		for seed := range seeds {
			f := newFleet(load, uint64(seed))
			f.run()
			f.check(t, seed)
		}
	})
}

// crashPart is the part that crashes targets.
const crashPart = 1

// fleet plays a load.
type fleet struct {
	load    fleetLoad
	random  *rand.Rand
	delays  *rand.Rand // Of probes, whose number does not change other random choices.
	start   time.Time
	now     time.Time
	events  eventQueue
	nodes   []*poison.Tracker
	known   []sentEvidence
	targets []fleetTarget
	crashes []time.Time // Times at which the requests were sent that crashed a target.
	late    []time.Time // Of these, sent by nodes that have run for the settling time.
	started []time.Time // Time of the last restart of each node.
	content uint64
	probes  int // Requests that were let through as probes.
	served  int // Sound requests with the first part of those that crash targets, sent in the judged time.
	refused int // The same, rejected.
}

type fleetTarget struct {
	incarnation uint32
	up          bool
	running     []*fleetRequest
}

type fleetRequest struct {
	node   int
	parts  []uint64 // Content first.
	target int
	sent   time.Time
	lost   bool
	probe  uint64 // Fingerprint whose probe the request is.
}

// sentEvidence is evidence that was broadcast.
type sentEvidence struct {
	evidence poison.Evidence
	at       time.Time
}

type event struct {
	at  time.Time
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)        { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newFleet(load fleetLoad, seed uint64) *fleet {
	f := &fleet{load: load, random: rand.New(rand.NewPCG(seed, 1)), delays: rand.New(rand.NewPCG(seed, 2)), start: time.Unix(1000, 0)}
	f.now = f.start
	for range load.Nodes {
		f.nodes = append(f.nodes, &poison.Tracker{})
		f.started = append(f.started, time.Time{})
	}
	for i := range load.Targets {
		f.targets = append(f.targets, fleetTarget{incarnation: uint32(i + 1), up: true})
	}
	f.arrivals(load.SoundRate, 0, float64(load.Seconds), f.sendSound)
	f.arrivals(load.CrashRate, load.CrashesFrom, load.CrashesUntil, f.sendCrashing)
	for _, at := range load.AllLost {
		f.after(seconds(at), f.loseAll)
	}
	for _, at := range load.Restarts {
		f.after(seconds(at), func() { f.restart(f.random.IntN(len(f.nodes))) })
	}
	for i := range load.RollCount {
		f.after(seconds(load.RollFrom+float64(i)*load.RollGap), func() { f.restart(i % len(f.nodes)) })
	}
	return f
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// after schedules a step at a time after now.
func (f *fleet) after(d time.Duration, run func()) {
	heap.Push(&f.events, event{at: f.now.Add(d), run: run})
}

// arrivals schedules random arrivals at a rate per second between two times.
func (f *fleet) arrivals(rate, from, until float64, run func()) {
	for at := from; rate > 0; {
		at += f.random.ExpFloat64() / rate
		if at >= until {
			return
		}
		f.after(seconds(at), run)
	}
}

func (f *fleet) run() {
	for f.events.Len() > 0 {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
}

// firstPart returns the fingerprint of the first part with a number.
func firstPart(number int) uint64 { return 1000 + uint64(number) }

func (f *fleet) newContent() uint64 {
	f.content++
	return 1<<40 + f.content
}

func (f *fleet) sendSound() {
	first := f.random.IntN(f.load.FirstParts)
	parts := []uint64{f.newContent(), firstPart(first), 5000 + uint64(f.random.IntN(200))}
	sent := f.send(parts)
	if !f.judged() || first != 0 && f.load.CrashRate > 0 {
		return
	}
	if sent {
		f.served++
	} else {
		f.refused++
	}
}

// judged reports whether sound requests of this moment are counted.
func (f *fleet) judged() bool {
	if f.now.After(f.start.Add(seconds(f.load.CrashesUntil))) {
		return false
	}
	if f.load.CrashRate == 0 {
		return f.now.After(f.start.Add(seconds(f.load.AllLost[0])).Add(2 * settlingTime))
	}
	return len(f.crashes) > 0 && f.now.Sub(f.crashes[min(len(f.crashes), 5)-1]) > 2*settlingTime
}

func (f *fleet) sendCrashing() {
	first := 0
	if f.load.MixedFirst {
		first = f.random.IntN(f.load.FirstParts)
	}
	f.send([]uint64{f.newContent(), firstPart(first), crashPart})
}

// send sends a request to a random target unless its node rejects it, and reports
// whether it was sent.
func (f *fleet) send(parts []uint64) bool {
	r := &fleetRequest{node: f.random.IntN(len(f.nodes)), parts: parts, target: f.runningTarget(), sent: f.now}
	home := r.node == f.home()
	v := f.nodes[r.node].Check(f.now, parts, func(uint64) bool { return home })
	f.broadcast(r.node, v.Announce)
	if v.Standing == poison.Quarantined && !v.Probe {
		return false
	}
	if r.target < 0 {
		return true // No target runs, which is not judged here.
	}
	t := &f.targets[r.target]
	if v.Probe {
		f.probes++
		r.probe = v.Fingerprint
	}
	t.running = append(t.running, r)
	if parts[2] == crashPart {
		f.after(50*time.Millisecond, func() { f.crash(r) })
		return true
	}
	f.after(seconds(0.5+f.random.ExpFloat64()), func() { f.complete(r) })
	return true
}

// ownerDelay is the time after its restart in which a node is not known to others.
const ownerDelay = time.Second

// home returns the node that has the quarantines: the first one that has not just
// restarted.
func (f *fleet) home() int {
	for i, at := range f.started {
		if f.now.Sub(at) > ownerDelay {
			return i
		}
	}
	return 0
}

// runningTarget returns a random target that runs, or -1 if there is none.
func (f *fleet) runningTarget() int {
	for _, i := range f.random.Perm(len(f.targets)) {
		if f.targets[i].up {
			return i
		}
	}
	return -1
}

func (f *fleet) complete(r *fleetRequest) {
	if r.lost {
		return
	}
	t := &f.targets[r.target]
	t.running = slices.DeleteFunc(t.running, func(o *fleetRequest) bool { return o == r })
	for _, p := range r.parts {
		f.broadcast(r.node, f.nodes[r.node].RecordCompletion(f.now, p))
	}
}

func (f *fleet) crash(r *fleetRequest) {
	if r.lost {
		return
	}
	f.crashes = append(f.crashes, r.sent)
	if r.sent.Sub(f.started[r.node]) > settlingTime {
		f.late = append(f.late, r.sent)
	}
	f.lose(r.target)
}

func (f *fleet) loseAll() {
	for i := range f.targets {
		f.lose(i)
	}
}

// lose ends all requests that run at a target. It comes back as another
// incarnation.
func (f *fleet) lose(target int) {
	t := &f.targets[target]
	for _, r := range t.running {
		r.lost = true
		f.nodes[r.node].RecordProbeLoss(f.now, r.probe)
		content := uint32(r.parts[0])
		for i, p := range r.parts {
			l := poison.Loss{Fingerprint: p, Target: t.incarnation, Content: content, At: f.now}
			if i == 0 {
				l.Content = 0
			}
			f.broadcast(r.node, f.nodes[r.node].RecordLoss(f.now, l))
		}
	}
	t.running = nil
	t.up = false
	t.incarnation += 1000
	f.after(3*time.Second, func() { t.up = true })
}

func (f *fleet) broadcast(from int, list []poison.Evidence) {
	for _, e := range list {
		f.known = append(f.known, sentEvidence{evidence: e, at: f.now})
		f.nodes[from].Observe(f.now, e) // Nodes hear their own announcements, too.
		for i := range f.nodes {
			if i != from {
				f.deliver(i, e)
			}
		}
	}
}

func (f *fleet) deliver(node int, e poison.Evidence) {
	random := f.random
	if _, ok := e.(poison.Probe); ok {
		random = f.delays
	}
	delay := time.Duration(random.IntN(f.load.MaxDelayMS)) * time.Millisecond
	f.after(delay, func() { f.nodes[node].Observe(f.now, e) })
}

// evidenceLifetime is how long a broadcast of anything but a probe reaches nodes that
// start.
const evidenceLifetime = 2 * time.Minute

// restart makes a node lose what it knows. It gets the evidence that has not expired.
func (f *fleet) restart(node int) {
	f.nodes[node], f.started[node] = &poison.Tracker{}, f.now
	for _, k := range f.known {
		until := k.at.Add(evidenceLifetime)
		if p, ok := k.evidence.(poison.Probe); ok {
			until = p.Until()
		}
		if f.now.Before(until) {
			f.deliver(node, k.evidence)
		}
	}
}

func (f *fleet) check(t *testing.T, seed int) {
	t.Helper()
	late := 0
	for _, sent := range f.late {
		if len(f.crashes) >= 5 && sent.After(f.crashes[4].Add(settlingTime)) {
			late++
		}
	}
	if late > maxLateCrashes {
		t.Errorf("seed %d: %d requests crashed targets in the end and %d of them were sent %s after the fifth, want at most %d", seed, len(f.crashes), late, settlingTime, maxLateCrashes)
	}
	if f.probes < f.load.MinProbes {
		t.Errorf("seed %d: %d requests were let through as probes, want at least %d", seed, f.probes, f.load.MinProbes)
	}
	if all := f.served + f.refused; all >= 20 && float64(f.served) < minServedShare*float64(all) {
		t.Errorf("seed %d: %d of %d sound requests with the same first part were rejected", seed, f.refused, all)
	}
}
