package member

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"bergamotworks/ports"
)

const udpHeader = 28 // Bytes of IP and UDP headers per datagram.

// fleet runs many tables over a simulated network in virtual time.
type fleet struct {
	now       time.Time
	nodes     map[string]*node // By gossip address.
	addresses []string
	queue     deliveries
	random    *rand.Rand
	loss      float64
	delay     func(from, to *node) time.Duration
	blocked   map[[2]string]bool // By the IDs of sender and receiver.
	seeds     []string
	deaths    int // Number of times that a VM declared a running VM dead.
	onView    func(n *node, v View)
	lastOrder int
}

// node is a simulated VM.
type node struct {
	table         *Table
	id            string
	address       string
	up            bool
	paused        bool
	backlog       []Event // Events that arrived while the VM was paused.
	view          View
	announcements map[uint64]int64
	sent          int // Bytes, including UDP headers.
	received      int // Bytes, including UDP headers.
	messages      int // Datagrams sent and received.
	generation    int // Number of starts; ticks of an earlier start are dropped.
}

// delivery is an event in virtual time: the arrival of a datagram, a tick of a VM,
// or a function call.
type delivery struct {
	at         time.Time
	order      int
	from, to   string
	payload    []byte
	event      func() // Function to run instead of delivering a payload.
	generation int    // Generation of the VM that the tick is for, if there is no payload.
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	return d[i].at.Before(d[j].at) || d[i].at.Equal(d[j].at) && d[i].order < d[j].order
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

func newFleet(count, regions int, seed uint64) *fleet {
	f := &fleet{
		now:     time.Unix(1_800_000_000, 0),
		nodes:   map[string]*node{},
		random:  rand.New(rand.NewPCG(seed, 0)),
		blocked: map[[2]string]bool{},
		delay:   func(*node, *node) time.Duration { return 1500 * time.Microsecond },
	}
	for i := range count {
		id, address := fmt.Sprintf("vm-%03d", i), fmt.Sprintf("10.0.%d.%d:7401", i/250, i%250+1)
		f.nodes[address] = &node{id: id, address: address, table: &Table{Self: VM{
			ID:            id,
			Address:       fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250+1),
			GossipAddress: address,
			Region:        fmt.Sprintf("region-%d", i%regions),
			Domain:        fmt.Sprintf("domain-%d", i%regions*3+i/regions%3),
		}}}
		f.addresses = append(f.addresses, address)
		f.seeds = append(f.seeds, address)
	}
	return f
}

func (f *fleet) find(id string) *node {
	for _, n := range f.nodes {
		if n.id == id {
			return n
		}
	}
	panic("no VM " + id)
}

// start starts or restarts a VM.
func (f *fleet) start(n *node) {
	self := n.table.Self
	self.Incarnation = uint64(f.now.UnixMilli())
	n.table = &Table{Self: self, Settings: n.table.Settings, Random: ports.NewSeededRandom(f.random.Uint64())}
	n.up, n.paused, n.backlog = true, false, nil
	n.announcements = map[uint64]int64{}
	n.generation++
	f.tickAfter(n, time.Duration(f.random.Int64N(int64(tickInterval))))
	f.step(n, SeedsUpdated{Addresses: f.seeds})
	f.step(n, AttributesChanged{Attributes: Attributes{Ready: true, StoreReachable: true}})
}

func (f *fleet) step(n *node, event Event) {
	if !n.up {
		return
	}
	if n.paused {
		n.backlog = append(n.backlog, event)
		return
	}
	for _, a := range n.table.Step(f.now, event) {
		f.perform(n, a)
	}
}

func (f *fleet) perform(n *node, action Action) {
	switch a := action.(type) {
	case Send:
		f.send(n, a)
	case Publish:
		f.countDeaths(n.view, a.View)
		n.view = a.View
		if f.onView != nil {
			f.onView(n, a.View)
		}
	case NewerRevision:
		applyRevision(f, n, a)
	case Deliver:
		n.announcements[a.Announcement.Key] = a.Announcement.Value
	}
}

func (f *fleet) countDeaths(before, after View) {
	if before.Version == after.Version {
		return
	}
	for _, m := range after.Members() {
		old, _ := before.Find(m.ID)
		n := f.nodes[m.GossipAddress]
		if m.State == Dead && old.State != Dead && n.up && !n.paused && m.Incarnation >= n.table.Self.Incarnation {
			f.deaths++
		}
	}
}

func (f *fleet) send(n *node, a Send) {
	n.sent += len(a.Payload) + udpHeader
	n.messages++
	to := f.nodes[a.To]
	if to == nil || f.blocked[[2]string{n.id, to.id}] || f.random.Float64() < f.loss {
		return
	}
	f.push(delivery{at: f.now.Add(f.delay(n, to)), from: n.address, to: a.To, payload: a.Payload})
}

func (f *fleet) push(d delivery) {
	f.lastOrder++
	d.order = f.lastOrder
	heap.Push(&f.queue, d)
}

func (f *fleet) tickAfter(n *node, wait time.Duration) {
	f.push(delivery{at: f.now.Add(wait), to: n.address, generation: n.generation})
}

// run advances virtual time to until and handles the deliveries that are due.
func (f *fleet) run(until time.Time) {
	for len(f.queue) > 0 && !f.queue[0].at.After(until) {
		d := heap.Pop(&f.queue).(delivery)
		f.now = d.at
		n := f.nodes[d.to]
		if d.event != nil {
			d.event()
			continue
		}
		if d.payload == nil {
			f.tick(n, d.generation)
			continue
		}
		n.received += len(d.payload) + udpHeader
		n.messages++
		f.step(n, DatagramReceived{From: d.from, Payload: d.payload})
	}
	f.now = until
}

func (f *fleet) tick(n *node, generation int) {
	if !n.up || n.generation != generation {
		return
	}
	if !n.paused {
		f.step(n, Tick{})
	}
	f.tickAfter(n, tickInterval)
}

// resume resumes a paused VM, which then processes the queued events.
func (f *fleet) resume(n *node) {
	n.paused = false
	backlog := n.backlog
	n.backlog = nil
	for _, e := range backlog {
		f.step(n, e)
	}
}

func (f *fleet) block(from, to string) { f.blocked[[2]string{from, to}] = true }
