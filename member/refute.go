package member

import "time"

// refute answers the claim that the own VM is suspect or dead by a higher
// incarnation.
func (t *Table) refute(d delta, sender string) {
	if d.State == Alive && d.Incarnation <= t.Self.Incarnation {
		return
	}
	if d.Incarnation < t.Self.Incarnation || d.State > Dead && d.Incarnation == t.Self.Incarnation {
		return
	}
	if d.State == Dead && t.credible(sender) {
		t.trust.replaced()
	}
	t.Self.Incarnation = d.Incarnation + 1
	t.views.stale = true
	news := t.selfDelta()
	news.Details = nil
	t.changes.push(t.Self.ID, news)
}

// rejoinGrace is the time in which the table of a VM that was cut off may be
// out of date.
const rejoinGrace = 10 * time.Second

// credible reports whether the sender's word that this VM is dead means that
// others have taken over from it. A VM that was itself cut off holds dead
// whomever it could not reach.
func (t *Table) credible(sender string) bool {
	e := t.members[sender]
	return e != nil && !e.State.Gone() && t.now.Sub(e.rejoined) > rejoinGrace
}

// maxNotices is the number of notices that a VM sends in one period.
const maxNotices = 8

// notify tells a VM that the sender holds it dead.
func (t *Table) notify(e *entry, d delta, sender string) {
	if t.probes.notices >= maxNotices {
		return
	}
	t.probes.notices++
	d.Details = nil
	t.send(e.GossipAddress, message{Kind: gossip, Target: sender, Deltas: []delta{d}})
}
