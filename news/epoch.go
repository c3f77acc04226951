package news

import (
	"maps"
	"slices"
	"time"

	"bergamotworks/site"
)

const (
	// departureRetention is how long a target that has left is remembered. The copy from
	// which a store is restored is younger than that.
	departureRetention = 60 * time.Second
	// departureHold is how long a target that had left before the store was restored gets
	// no work though its entry is back. Within that time its entry lapses again, or it
	// writes what it had written.
	departureHold = 6 * time.Second
)

// departure is a target that accepts no new work.
type departure struct {
	incarnation int64
	draining    bool // It is still listed; otherwise its entry was removed.
	at          time.Time
}

// departures are the targets that have left in the current epoch of the store, by
// identifier. The zero value is empty.
type departures map[string]departure

// observe records the difference between two directories of one epoch.
func (d *departures) observe(before, after site.Directory, now time.Time) {
	if *d == nil {
		*d = make(departures)
	}
	for _, t := range before.Targets {
		if _, ok := after.Find(t.ID); !ok {
			(*d)[t.ID] = departure{incarnation: t.Incarnation, at: now}
		}
	}
	for _, t := range after.Targets {
		if t.Draining {
			(*d)[t.ID] = departure{incarnation: t.Incarnation, draining: true, at: now}
		} else {
			delete(*d, t.ID)
		}
	}
	maps.DeleteFunc(*d, func(_ string, o departure) bool { return now.Sub(o.at) > departureRetention })
}

// inheritance is what a node knows from the epoch of the store that has ended. The store
// has lost some of it, and who wrote that writes it again. The zero value is empty.
type inheritance struct {
	departed departures
	until    time.Time // End of the hold on departed.
	drained  []string  // Failure domains; they count in the grace period.
}

// observe drops the targets that the store no longer lists either: if their entries
// appear once more, the targets have registered again.
func (i *inheritance) observe(d site.Directory) {
	maps.DeleteFunc(i.departed, func(id string, _ departure) bool {
		_, listed := d.Find(id)
		return !listed
	})
}

// expire ends the hold on departed targets at its time, and reports whether it does.
func (i *inheritance) expire(now time.Time) bool {
	if len(i.departed) == 0 || now.Before(i.until) {
		return false
	}
	i.departed = nil
	return true
}

// correct returns the directory without the departed targets whose entries the restore of
// the store has brought back, and with those draining that had said so. A target that has
// started again since is another one.
func (i *inheritance) correct(d site.Directory) site.Directory {
	if len(i.departed) == 0 {
		return d
	}
	var targets []site.Target
	for _, t := range d.Targets {
		o, held := i.departed[t.ID]
		held = held && o.incarnation == t.Incarnation
		if held && !o.draining {
			continue
		}
		t.Draining = t.Draining || held
		targets = append(targets, t)
	}
	d.Targets = targets
	return site.NewDirectory(d)
}

// followEpoch records the epoch of a snapshot. If it is later than that of what this node
// knows, the store was restored from a copy, and what it knows counts beside the copy for a
// while.
func (s *State) followEpoch(sn Snapshot, c *Change) {
	before := s.epoch
	s.epoch = max(s.epoch, sn.epoch())
	if s.epoch == before || !s.registered.Loaded() && s.drained == nil {
		return
	}
	s.inherit(sn.AppliedAt)
	s.extendGrace(sn)
	c.Restored, c.EpochBefore, c.Held = true, before, len(s.inherited.departed)
}

// inherit keeps what this node knows of the epoch that has ended, with what is left of the
// one before that.
func (s *State) inherit(now time.Time) {
	held := make(departures)
	maps.Copy(held, s.inherited.departed)
	maps.Copy(held, s.departed)
	s.departed = nil
	s.inherited = inheritance{
		departed: held, until: now.Add(departureHold),
		drained: slices.Sorted(maps.Keys(s.directory.DrainedDomains)),
	}
}

// extendGrace begins a grace period, as after an outage. It ends when that of the node ends
// that sent the snapshot, if that is earlier.
func (s *State) extendGrace(sn Snapshot) {
	end := sn.AppliedAt.Add(reregisterGrace)
	if !sn.GraceEnd.IsZero() && sn.GraceEnd.Before(end) {
		end = sn.GraceEnd
	}
	if end.After(s.graceEnd) {
		s.graceEnd = end
	}
}

// epoch returns the latest epoch of the parts of the snapshot.
func (sn Snapshot) epoch() int64 {
	epoch := max(sn.Directory.Epoch, sn.Unchanged.Epoch)
	if sn.DrainedDomains != nil {
		epoch = max(epoch, sn.DrainedDomains.Epoch)
	}
	if sn.Rollouts != nil {
		epoch = max(epoch, sn.Rollouts.Epoch)
	}
	return epoch
}

// withEpoch returns the snapshot with the given epoch in the parts that state none, which
// come from a VM of an earlier version or a store that has no epochs.
func (sn Snapshot) withEpoch(epoch int64) Snapshot {
	sn.Directory.Position = withEpoch(sn.Directory.Position, epoch)
	sn.Unchanged.Position = withEpoch(sn.Unchanged.Position, epoch)
	if sn.DrainedDomains != nil {
		d := *sn.DrainedDomains
		d.Position = withEpoch(d.Position, epoch)
		sn.DrainedDomains = &d
	}
	if sn.Rollouts != nil {
		r := *sn.Rollouts
		r.Position = withEpoch(r.Position, epoch)
		sn.Rollouts = &r
	}
	return sn
}

// withEpoch returns the position in the given epoch if it states none. A revision of zero
// stands for no position.
func withEpoch(p site.Position, epoch int64) site.Position {
	if p.Epoch == 0 && p.Revision != 0 {
		p.Epoch = epoch
	}
	return p
}

// Epoch returns the latest epoch of the store that is known, zero if there is none.
func (s *State) Epoch() int64 { return s.epoch }
