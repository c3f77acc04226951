package move

import (
	"cmp"
	"net"
	"slices"
	"time"

	"bergamotworks/place"
	"bergamotworks/site"
)

const (
	// DefaultMaxCopies bounds the copies of one node, which occupy slots and memory of
	// targets until they are used or freed.
	DefaultMaxCopies = 32
	// linkShare is the part of a target's link that the copies of all nodes may use
	// together; results of stages and responses use the same link.
	linkShare = 0.25
	// slotShare is the part of the slots of a target that may be in use, with the copies
	// of this node, when it gets one more: a copy must not keep requests waiting.
	slotShare = 0.75
	// memoryReserve is how many times the memory of a run must be free at a target that
	// gets a copy. A target whose memory is exceeded crashes.
	memoryReserve = 2.0
	// crossingFactor is how much longer a copy to another failure domain takes.
	crossingFactor = 2.0
	// lossShare is the part of runs that are assumed to lose their target. A resumable run
	// gets a backup only if its copy costs less than that part of the time to read its
	// prompt again.
	lossShare = 0.02
	// A run is moved from a slow target if it would end by gainRatio sooner elsewhere,
	// and by minGain: both estimates are uncertain.
	gainRatio = 1.5
	minGain   = 300 * time.Millisecond
	// stopTime is the assumed time from the call that stops a run until the run continues
	// elsewhere, without the time for the copy.
	stopTime = 150 * time.Millisecond
	// leavingTime is how long a target that leaves is assumed to continue its runs. Targets
	// do not state it.
	leavingTime = 2 * time.Second
	// defaultStep is the assumed time for each event until it has been measured for the
	// service, and minStepEvents the number of events that a run needs to measure it.
	defaultStep   = 20 * time.Millisecond
	minStepEvents = 4
	// meanGain is the weight of a new run in the exponential means of a service.
	meanGain = 0.05
	// maxServices bounds the services that are remembered.
	maxServices = 1024
)

// Policy decides which runs are copied and moved. The zero value is ready for use. It is
// not safe for concurrent use.
type Policy struct {
	MaxCopies int // Bound on the copies of this node; zero means DefaultMaxCopies.

	services map[string]*serviceState
	copies   map[copyKey]heldCopy
	links    map[linkKey]time.Time // When this node's part of a link is free again.
}

// serviceState is what is known of the runs of a service.
type serviceState struct {
	work float64 // Mean work of a run, in seconds at a target of usual speed.
	step float64 // Mean time for each event, in seconds; zero if it is not known.
}

// copyKey identifies a copy: a run has a backup and a copy for a migration at most.
type copyKey struct {
	run    string
	backup bool
}

// linkKey identifies the link of a target, for one kind of copies: a run that would be lost
// does not wait for backups.
type linkKey struct {
	target string
	backup bool
}

// heldCopy is a copy that occupies memory at a target.
type heldCopy struct {
	source string
	target string
	tokens float64
}

// Backup returns the target that is to hold a copy of a run that starts at the source,
// false if the run gets none. The copy counts until [Policy.Freed].
func (p *Policy) Backup(now time.Time, r Run, source site.Target, candidates []place.Standing) (site.Target, bool) {
	if !r.Engine.Backups || !r.measurable() || !p.worthBackup(r, source) || !p.hasRoom(r, true) {
		return site.Target{}, false
	}
	list := p.suitable(now, r, source, Slow, true, candidates)
	return p.reserve(now, r, source, list, reservation{backup: true, share: linkShare / max(1, r.Nodes)})
}

// worthBackup reports whether the loss of the run costs its caller more than the copy. Of
// runs that can't be resumed, only those with at least the mean work of the service may have
// a backup. It includes the run in that mean.
func (p *Policy) worthBackup(r Run, source site.Target) bool {
	output := time.Duration(r.OutputTokens) * p.usualStep(r.Service)
	work := (r.ReadTime + output).Seconds()
	mean := p.service(r.Service).addWork(work)
	completed := r
	completed.Events = r.OutputTokens
	copying := completed.copyTime(source, source)
	if r.Resumable {
		return copying.Seconds() < lossShare*r.ReadTime.Seconds()
	}
	return work >= mean && copying < output
}

// addWork includes the work of a run in the mean, which it returns.
func (s *serviceState) addWork(work float64) float64 {
	if s.work == 0 {
		s.work = work
	}
	s.work += meanGain * (work - s.work)
	return s.work
}

// Move decides whether a run is moved. The copy counts until [Policy.Freed].
func (p *Policy) Move(now time.Time, r Run, source Source, candidates []place.Standing) (Decision, bool) {
	reason, ok := source.reason()
	if !ok || !r.movable() {
		return Decision{}, false
	}
	stay := p.stay(now, r, source)
	if reason == Slow && r.Events == 0 && r.Resumable {
		return p.restart(now, r, stay, candidates)
	}
	if !r.measurable() || !p.hasRoom(r, false) || reason != Slow && stay < leavingTime {
		return Decision{}, false
	}
	var worth []place.Standing
	elsewhere := make(map[string]time.Duration)
	for _, c := range p.suitable(now, r, source.Target, reason, false, candidates) {
		e := r.copyTime(source.Target, c.Target) + stopTime + p.timeAt(r, c)
		elsewhere[c.Target.ID] = e
		if reason != Slow || gains(stay, e) {
			worth = append(worth, c)
		}
	}
	t, ok := p.reserve(now, r, source.Target, worth, reservation{share: source.linkPart(reason)})
	if !ok {
		return Decision{}, false
	}
	return Decision{Action: Migrate, Reason: reason, Destination: t, Stay: stay, Elsewhere: elsewhere[t.ID]}, true
}

// linkPart returns the part of the source's link that this node may use to move its runs:
// that of its runs in those of the source. A target that leaves needs its link for little
// else.
func (s Source) linkPart(reason Reason) float64 {
	part := max(1, s.Own) / max(1, s.Load, s.Own)
	if reason == Slow {
		part *= linkShare
	}
	return part
}

// restart decides whether a run without an event is canceled at its slow target and sent
// elsewhere.
func (p *Policy) restart(now time.Time, r Run, stay time.Duration, candidates []place.Standing) (Decision, bool) {
	best := time.Duration(-1)
	for _, c := range candidates {
		if e := p.timeAt(r, c); !c.Full && !c.Slow && (best < 0 || e < best) {
			best = e
		}
	}
	if best < 0 || !gains(stay, best) || now.Add(best).After(r.Deadline) {
		return Decision{}, false
	}
	return Decision{Action: Restart, Reason: Slow, Stay: stay, Elsewhere: best}, true
}

// gains reports whether a run ends so much sooner elsewhere that it is moved.
func gains(stay, elsewhere time.Duration) bool {
	return stay-elsewhere >= minGain && stay.Seconds() >= gainRatio*elsewhere.Seconds()
}

// reason returns why the runs of a source are moved, false if they are not.
func (s Source) reason() (Reason, bool) {
	switch {
	case s.Replaced:
		return Replaced, true
	case s.Leaving:
		return Leaving, true
	}
	return Slow, s.Slow
}

// stay returns the expected time to the end of the run at the source, by the pace of the
// run so far if it shows one. A pause since the last event counts. A run without an event
// is expected to take at least as long again as it has waited.
func (p *Policy) stay(now time.Time, r Run, source Source) time.Duration {
	if r.Events == 0 {
		return max(p.timeAt(r, source.Standing), now.Sub(r.StartedAt))
	}
	step, ok := r.step()
	if !ok {
		return p.timeAt(r, source.Standing)
	}
	return max(step, now.Sub(r.LastEvent)/2) * time.Duration(r.remaining())
}

// timeAt returns the expected time to the end of the run at a target. Before the first
// event the prompt has to be read.
func (p *Policy) timeAt(r Run, at place.Standing) time.Duration {
	work := p.usualStep(r.Service).Seconds() * float64(r.remaining())
	if r.Events == 0 {
		work += r.ReadTime.Seconds()
	}
	return seconds(work * max(1, at.Factor))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// suitable returns the candidates that may hold a copy of the run: another VM, of usual
// speed, with free slots, memory and links, of the source's version or, if that is replaced,
// of another one. If there are any in the failure domain of the source, it returns only these.
func (p *Policy) suitable(now time.Time, r Run, source site.Target, reason Reason, backup bool, candidates []place.Standing) []place.Standing {
	var near, far []place.Standing
	for _, c := range candidates {
		if (c.Target.Version == source.Version) == (reason == Replaced) {
			continue
		}
		if host(c.Target.Address) == host(source.Address) || c.Slow || c.Full || !p.fits(r, c) || now.Before(p.links[linkKey{c.Target.ID, backup}]) {
			continue
		}
		if c.Target.Domain == source.Domain {
			near = append(near, c)
		} else {
			far = append(far, c)
		}
	}
	if len(near) > 0 {
		return near
	}
	return far
}

// fits reports whether a target has slots and memory for a copy of the run.
func (p *Policy) fits(r Run, c place.Standing) bool {
	held, tokens := 1.0, float64(r.PromptTokens+r.OutputTokens)
	for _, h := range p.copies {
		if h.target == c.Target.ID {
			held++
			tokens += h.tokens
		}
	}
	return c.Load+held <= slotShare*c.Slots && (c.FreeTokens < 0 || memoryReserve*tokens <= c.FreeTokens)
}

// reservation is the kind of a copy and the part of a link that copies of this kind may use.
type reservation struct {
	backup bool
	share  float64
}

// reserve chooses one of the less loaded half of the targets at random, since many nodes
// know the same loads, and counts the copy there. It returns false if there is none or the
// source's link is in use.
func (p *Policy) reserve(now time.Time, r Run, source site.Target, list []place.Standing, taken reservation) (site.Target, bool) {
	if len(list) == 0 || now.Before(p.links[linkKey{source.ID, taken.backup}]) {
		return site.Target{}, false
	}
	list = slices.Clone(list)
	slices.SortStableFunc(list, func(a, b place.Standing) int {
		return cmp.Compare(a.Load/a.Slots*max(1, a.Factor), b.Load/b.Slots*max(1, b.Factor))
	})
	chosen := list[r.Draw%uint64((len(list)+1)/2)].Target
	if p.copies == nil {
		p.copies, p.links = make(map[copyKey]heldCopy), make(map[linkKey]time.Time)
	}
	p.copies[copyKey{run: r.ID, backup: taken.backup}] = heldCopy{source: source.ID, target: chosen.ID, tokens: float64(r.PromptTokens + r.OutputTokens)}
	for _, id := range []string{source.ID, chosen.ID} {
		p.links[linkKey{id, taken.backup}] = now.Add(seconds(r.copyTime(source, chosen).Seconds() / taken.share))
	}
	return chosen, true
}

// hasRoom reports whether this node may have one more copy, of a run that has none of the
// kind.
func (p *Policy) hasRoom(r Run, backup bool) bool {
	_, has := p.copies[copyKey{run: r.ID, backup: backup}]
	return !has && len(p.copies) < cmp.Or(p.MaxCopies, DefaultMaxCopies)
}

// Freed records that a run has no backup, or no copy for a migration, any more.
func (p *Policy) Freed(id string, backup bool) { delete(p.copies, copyKey{run: id, backup: backup}) }

// Unused records that a run has not begun, so that its backup was not made and its links are
// free again.
func (p *Policy) Unused(id string) {
	key := copyKey{run: id, backup: true}
	if c, ok := p.copies[key]; ok { // Both links were free when it was reserved.
		delete(p.links, linkKey{c.source, true})
		delete(p.links, linkKey{c.target, true})
		delete(p.copies, key)
	}
}

// Copies returns the number of copies that count.
func (p *Policy) Copies() int { return len(p.copies) }

// Ended records the pace of a run that has ended at a target of usual speed.
func (p *Policy) Ended(r Run) {
	step, ok := r.step()
	if !ok {
		return
	}
	s := p.service(r.Service)
	if s.step == 0 {
		s.step = step.Seconds()
	}
	s.step += meanGain * (step.Seconds() - s.step)
}

// Prune discards what is known of targets and services that the directory lacks.
func (p *Policy) Prune(d site.Directory) {
	for key := range p.links {
		if _, ok := d.Find(key.target); !ok {
			delete(p.links, key)
		}
	}
	for name := range p.services {
		if len(d.Usable(name)) == 0 {
			delete(p.services, name)
		}
	}
}

// usualStep returns the time for each event at a target of usual speed.
func (p *Policy) usualStep(service string) time.Duration {
	return cmp.Or(seconds(p.service(service).step), defaultStep)
}

func (p *Policy) service(name string) *serviceState {
	s := p.services[name]
	if s == nil {
		s = &serviceState{}
		if p.services == nil || len(p.services) >= maxServices {
			p.services = make(map[string]*serviceState)
		}
		p.services[name] = s
	}
	return s
}

// host returns the IP address of a target.
func host(address string) string {
	h, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return h
}
