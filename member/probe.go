package member

import (
	"slices"
	"time"
)

// failureDetector is the state of the failure detector.
type failureDetector struct {
	round       []string // VMs to probe, reshuffled after each round.
	position    int
	nextProbe   time.Time
	sequence    uint32
	inFlight    map[uint32]*probe
	noticesSent int // Death notices sent in this probe interval.
}

// probe is a probe in flight.
type probe struct {
	vm              string    // ID of the probed VM; empty in a probe on behalf of another VM.
	indirectAt      time.Time // When to request indirect probes; zero once requested.
	deadline        time.Time
	sent            time.Time
	requester       string // Address of the VM that requested an indirect probe.
	requestSequence uint32 // Sequence number of the request.
}

func (d *failureDetector) start(now time.Time) {
	d.nextProbe = now
	d.inFlight = map[uint32]*probe{}
}

// add inserts a VM at a random position of the round.
func (d *failureDetector) add(id string, random func(int) int) {
	d.round = slices.Insert(d.round, random(len(d.round)+1), id)
}

func (d *failureDetector) remove(id string) {
	if at := slices.Index(d.round, id); at >= 0 {
		d.round = slices.Delete(d.round, at, at+1)
	}
}

// probeNext sends the probe of the current probe interval.
func (t *Table) probeNext() {
	if t.now.Before(t.detector.nextProbe) {
		return
	}
	t.detector.nextProbe = t.now.Add(t.settings.ProbeInterval)
	t.views.intervalEnd = true
	t.detector.noticesSent = 0
	if len(t.detector.round) == 0 {
		return
	}
	if t.detector.position >= len(t.detector.round) {
		t.detector.position = 0
		t.random.Shuffle(len(t.detector.round), func(i, j int) {
			t.detector.round[i], t.detector.round[j] = t.detector.round[j], t.detector.round[i]
		})
	}
	e := t.members[t.detector.round[t.detector.position]]
	t.detector.position++
	t.probe(e)
	t.requestConfirmation()
}

func (t *Table) probe(e *entry) {
	timeout := t.probeTimeout(e)
	sequence := t.addProbe(&probe{
		vm:         e.ID,
		sent:       t.now,
		indirectAt: t.now.Add(timeout),
		deadline:   t.now.Add(2 * timeout),
	})
	t.send(e.GossipAddress, message{Kind: ping, Sequence: sequence, Confirmed: e.liveIncarnation(), Updates: t.suspicionUpdate(e)})
}

// suspicionUpdate returns the update that notifies a suspect or dead VM of its
// state, so that it can refute it as early as possible. It returns nil for any
// other VM.
func (t *Table) suspicionUpdate(e *entry) []memberUpdate {
	if e.State == Suspect || e.State == Dead {
		return []memberUpdate{{ID: e.ID, Incarnation: e.Incarnation, State: e.State}}
	}
	return nil
}

// liveIncarnation returns the incarnation if the VM is considered live, else
// zero.
func (e *entry) liveIncarnation() uint64 {
	if e.State.Gone() {
		return 0
	}
	return e.Incarnation
}

func (t *Table) probeTimeout(e *entry) time.Duration {
	if e.Region != t.Self.Region {
		return t.settings.RemoteProbeTimeout
	}
	return t.settings.ProbeTimeout
}

func (t *Table) addProbe(p *probe) uint32 {
	t.detector.sequence++
	t.detector.inFlight[t.detector.sequence] = p
	return t.detector.sequence
}

// expireProbes requests indirect probes where no ack has arrived within the
// probe timeout, and handles the probes that failed.
func (t *Table) expireProbes() {
	for _, sequence := range sortedKeys(t.detector.inFlight) {
		p := t.detector.inFlight[sequence]
		if !p.indirectAt.IsZero() && !t.now.Before(p.indirectAt) {
			p.indirectAt = time.Time{}
			t.requestIndirectProbes(sequence, p)
		}
		if t.now.Before(p.deadline) {
			continue
		}
		delete(t.detector.inFlight, sequence)
		if e := t.members[p.vm]; e != nil {
			t.probeFailed(e, p)
		}
	}
}

func (t *Table) requestIndirectProbes(sequence uint32, p *probe) {
	probed := t.members[p.vm]
	if probed == nil {
		return
	}
	for _, v := range t.helpers(probed) {
		t.send(v.GossipAddress, message{Kind: pingRequest, Sequence: sequence, Subject: probed.GossipAddress})
	}
}

// helpers returns VMs to request an indirect probe from: VMs in the region of
// the probed VM, where the round trip is short, or VMs of any region if there
// are none.
func (t *Table) helpers(probed *entry) []*entry {
	near := t.randomEntries(t.settings.IndirectProbes, func(e *entry) bool {
		return e.State == Alive && e != probed && e.Region == probed.Region
	})
	if len(near) > 0 {
		return near
	}
	return t.randomEntries(t.settings.IndirectProbes, func(e *entry) bool { return e.State == Alive && e != probed })
}

// probeFailed handles a probe that neither the probed VM nor another VM
// acknowledged. If this VM has not been confirmed since the probe was sent, it
// may be the one that is unreachable, and does not suspect a VM from which it has
// received a message since then.
func (t *Table) probeFailed(e *entry, p *probe) {
	if t.status.lastConfirmed.Before(p.sent) && e.LastHeard.After(p.sent) {
		return
	}
	switch e.State {
	case Alive:
		t.apply(memberUpdate{ID: e.ID, Incarnation: e.Incarnation, State: Suspect}, direct)
	case Leaving:
		t.apply(memberUpdate{ID: e.ID, Incarnation: e.Incarnation, State: Left}, direct)
	case Suspect, Dead, Left:
	}
}

// expireSuspects declares the suspects dead whose suspicion timeout has passed.
func (t *Table) expireSuspects() {
	for _, id := range sortedKeys(t.suspects) {
		if e := t.suspects[id]; !t.now.Before(e.suspicionEnd) {
			t.apply(memberUpdate{ID: e.ID, Incarnation: e.Incarnation, State: Dead}, direct)
		}
	}
}

func (t *Table) handlePing(from string, m message, sender *entry) {
	response := message{Kind: ack, Sequence: m.Sequence}
	if sender != nil {
		response.Confirmed = sender.liveIncarnation()
		response.Updates = t.suspicionUpdate(sender)
	}
	t.send(from, response)
}

func (t *Table) handlePingRequest(from string, m message) {
	sequence := t.addProbe(&probe{
		sent:            t.now,
		deadline:        t.now.Add(2 * t.settings.RemoteProbeTimeout),
		requester:       from,
		requestSequence: m.Sequence,
	})
	t.send(m.Subject, message{Kind: ping, Sequence: sequence})
}

func (t *Table) handleAck(m message) {
	p := t.detector.inFlight[m.Sequence]
	if p == nil {
		return
	}
	if p.requester != "" {
		t.send(p.requester, message{Kind: ack, Sequence: p.requestSequence, Subject: m.From})
		delete(t.detector.inFlight, m.Sequence)
		return
	}
	if m.Subject == "" {
		t.confirm(m, p.sent)
	}
	if m.From == p.vm || m.Subject == p.vm {
		delete(t.detector.inFlight, m.Sequence)
	}
}
