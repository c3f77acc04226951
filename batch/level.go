package batch

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotworks/admit"
)

const (
	// overtakingShare is the share of pieces that may be dispatched before more urgent
	// ones. Only priorities that are behind use it (see [admit.Meter.Behind]). They must be
	// served a quarter as often as all, even if their requests have most of the pieces.
	overtakingShare = 0.25
	// maxOvertaking bounds what accumulates of it, in full calls.
	maxOvertaking = 2
	// firstStageSpare limits the queue wait of work that misses its latency target at a
	// first stage, as a share of the time that it can spare before its deadline: more
	// urgent work may still come before it. Work of later stages waits as long as it
	// can, since rejecting it wastes results.
	firstStageSpare = 0.5
	// admittedSpare is the same share from which less is admitted. Less would leave
	// capacity to less urgent work while requests are rejected; more would reject work that
	// has waited. The most urgent work may wait longer, since nothing goes before it, and the
	// queue dispatches what can be in time first.
	admittedSpare       = 0.25
	admittedUrgentSpare = 0.4
	// maxOtherWaits limits the shards of other services in one message.
	maxOtherWaits = 16
	// levelLogInterval is the least time between two log lines on a service's level.
	levelLogInterval = time.Second
)

// recordOffered counts work for the demand, whether or not it is accepted.
func (t *Table) recordOffered(now time.Time, w Work) {
	if t.PriorityAdmission {
		class := admit.Class{Priority: w.Priority, Account: w.Account}
		t.meter.Apply(now, admit.Offered{Class: class, Work: float64(w.Pieces), Weight: w.Weight, Slack: t.slack(now, w)})
	}
}

// slack returns how long work may wait before less is admitted: until it misses its
// latency target, or for a part of the time that it can spare before its deadline. Work
// that has missed its target gives way to the others of its priority.
func (t *Table) slack(now time.Time, w Work) time.Duration {
	needed := t.callTime(w.Pieces) + w.Rest
	spare := w.Deadline.Sub(now) - needed
	share := admittedSpare
	if w.Priority <= t.mostUrgent {
		share = admittedUrgentSpare
	}
	return max(w.Target.Sub(now)-needed-t.margin(), time.Duration(share*float64(spare)))
}

// recordProcessed counts a piece that a target has finished.
func (t *Table) recordProcessed(now time.Time, w Work) {
	if t.PriorityAdmission {
		t.meter.Apply(now, admit.Processed{Priority: w.Priority, Work: 1, Requests: 1 / float64(max(w.Pieces, 1))})
	}
}

// updateLevel makes the level of admission from the queue.
func (t *Table) updateLevel(now time.Time) {
	if !t.PriorityAdmission {
		return
	}
	waiting := make(map[int]float64)
	for _, g := range t.queue {
		if len(g.waiting) > 0 {
			waiting[g.work.Priority] += float64(len(g.waiting))
		}
	}
	round := float64(t.usableTargets() * max(t.Limits.Slots, 1) * max(t.Limits.Size, 1))
	t.meter.Apply(now, admit.Queue{Waiting: waiting, Nominal: t.nominalRate(), Round: round, Free: t.freeSlots()})
}

// freeSlots returns the share of the usable targets' slots that are free.
func (t *Table) freeSlots() float64 {
	free, slots := 0, 0
	for _, state := range t.targets {
		if state.usable() {
			slots += max(t.Limits.Slots, 1)
			free += max(0, max(t.Limits.Slots, 1)-len(state.running))
		}
	}
	return float64(free) / float64(max(slots, 1))
}

// nominalRate returns the pieces per second of the usable targets at their usual speed.
func (t *Table) nominalRate() float64 {
	size := max(t.Limits.Size, 1)
	call := t.callTime(size).Seconds()
	if call <= 0 {
		return 0
	}
	return float64(t.usableTargets()*max(t.Limits.Slots, 1)*size) / call
}

// level returns the level of admission, nil if the table makes none.
func (t *Table) level() *admit.Level {
	if !t.PriorityAdmission {
		return nil
	}
	l := t.meter.Level()
	return &l
}

// compareUrgency orders groups for admission by priority. Overdue groups go first, the least
// urgent of them before the others, since they get nothing otherwise.
func (t *Table) compareUrgency(now time.Time, a, b *group) int {
	overdueA, overdueB := t.overdue(now, a), t.overdue(now, b)
	switch {
	case overdueA && overdueB:
		return cmp.Or(cmp.Compare(b.work.Priority, a.work.Priority), a.work.Target.Add(-a.work.Rest).Compare(b.work.Target.Add(-b.work.Rest)))
	case overdueA:
		return -1
	case overdueB:
		return 1
	}
	return cmp.Compare(a.work.Priority, b.work.Priority)
}

// overdue reports whether a group may go before more urgent work: its priority is
// behind, it has waited for half of the time to its latency target and can still meet it.
func (t *Table) overdue(now time.Time, g *group) bool {
	if t.overtaking <= 0 || g.work.Priority <= t.mostUrgent || !t.meter.Behind(g.work.Priority) {
		return false
	}
	return now.Sub(g.submitted) > g.work.Target.Sub(g.submitted)/2 && !t.missesLatencyTarget(now, g.work)
}

// findMostUrgent sets the priority of the most urgent work that waits.
func (t *Table) findMostUrgent() {
	if !t.PriorityAdmission || len(t.queue) == 0 {
		return
	}
	t.mostUrgent = slices.MinFunc(t.queue, func(a, b *group) int { return cmp.Compare(a.work.Priority, b.work.Priority) }).work.Priority
}

// countOvertaking charges the pieces of a call that goes before more urgent work.
func (t *Table) countOvertaking(now time.Time, pieces []*piece) {
	if !t.PriorityAdmission {
		return
	}
	overdue := 0
	for _, p := range pieces {
		if t.overdue(now, p.group) {
			overdue++
		}
	}
	t.overtaking += overtakingShare*float64(len(pieces)) - float64(overdue)
	t.overtaking = min(t.overtaking, float64(maxOvertaking*max(t.Limits.Size, 1)))
}

// forecastByPriority returns the expected wait of work that may miss its latency target,
// behind the given number of pieces, and whether to accept it.
func (t *Table) forecastByPriority(now time.Time, w Work, ahead int) (time.Duration, bool) {
	wait := t.processingTime(now, ahead)
	if rate := t.meter.Capacity(); rate > 0 {
		wait = max(wait, time.Duration(float64(ahead)/rate*float64(time.Second)))
	}
	spare := w.Deadline.Sub(now) - t.callTime(w.Pieces) - w.Rest
	share := firstStageSpare
	if len(w.Inputs) > 0 {
		share = 1
	}
	return wait, spare >= 0 && wait <= time.Duration(share*float64(spare))
}

// Levels returns what is known of the shards of a service for admission.
func (s *Service) Levels(service string) []admit.ShardLevel {
	s.once.Do(s.init)
	l := s.layout(service)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.Clock.Now()
	list := make([]admit.ShardLevel, 0, len(l.shards))
	for _, v := range l.shards {
		r := s.waits[service][v.domain]
		known := admit.ShardLevel{Targets: v.targets, At: r.levelAt, Backlog: s.waits.estimate(now, service, v.domain)}
		known.Idle = now.Sub(r.at) <= maxWaitAge && r.wait < admit.IdleWait
		if r.level != nil {
			known.Level = *r.level
		}
		if b := s.batchers[service]; b != nil && v.owner == s.Self {
			known.Level, known.At, known.Backlog = b.table.meter.Level(), now, b.table.meter.Backlog()
			known.Idle = known.Backlog < admit.IdleWait
		}
		list = append(list, known)
	}
	return list
}

// otherWaits returns the waits of other services to pass on, bounded.
func (s *Service) otherWaits(except string) []serviceWaits {
	if !s.PriorityAdmission {
		return nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now, n := s.Clock.Now(), 0
	var list []serviceWaits
	for service := range s.waits {
		if service == except {
			continue
		}
		known := s.waits.recent(now, service)
		if n += len(known); n > maxOtherWaits {
			break
		}
		if len(known) > 0 {
			list = append(list, serviceWaits{Service: service, Waits: known})
		}
	}
	slices.SortFunc(list, func(a, b serviceWaits) int { return strings.Compare(a.Service, b.Service) })
	return list
}

// mergeOthers records the waits of other services that another node has sent, as far as
// the configuration has the services.
func (s *Service) mergeOthers(sent []serviceWaits) {
	if !s.PriorityAdmission {
		return
	}
	config := s.Config()
	for _, v := range sent {
		if service, ok := config.Service(v.Service); ok && service.Batch != nil {
			s.mergeWaits(v.Service, v.Waits)
		}
	}
}

// levelLog is what was last logged of a level.
type levelLog struct {
	at       time.Time
	limited  bool
	priority int
}

// logLevel logs a change of the priority at which the capacity ends, and updates the
// metrics. The caller holds s.mutex.
func (s *Service) logLevel(now time.Time, b *batcher) {
	if !s.PriorityAdmission {
		return
	}
	m := &b.table.meter
	l := m.Level()
	share := 1.0
	if !l.Unlimited() {
		share = min(1, m.Capacity()/max(m.Demand(), 1))
	}
	s.Metrics.GetOrCreateGauge(fmt.Sprintf("batch_admission_share{service=%q}", b.name), nil).Set(share)
	next := levelLog{at: now, limited: !l.Unlimited(), priority: l.Priority}
	if next.limited == b.logged.limited && next.priority == b.logged.priority || now.Sub(b.logged.at) < levelLogInterval {
		return
	}
	b.logged = next
	s.Log.WithFields(logrus.Fields{
		"service": b.name, "limited": next.limited, "priority": l.Priority, "share": l.Share, "reserved": l.Reserved, "accounts": len(l.Accounts),
		"capacity": m.Capacity(), "demand": m.Demand(), "backlog_ms": m.Backlog().Milliseconds(),
	}).Info("level of admission changed")
}
