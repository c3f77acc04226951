package member

import "time"

// refute increases the incarnation of the local VM above that of a report that
// it is suspect or dead, or of any report with a higher incarnation, which
// concerns a previous process of this VM. It ignores reports of an older
// incarnation and those that repeat that this VM is alive or leaves. A credible
// report that this VM is dead also starts a new epoch.
func (t *Table) refute(u memberUpdate, sender string) {
	if u.State == Alive && u.Incarnation <= t.Self.Incarnation {
		return
	}
	if u.Incarnation < t.Self.Incarnation || u.State > Dead && u.Incarnation == t.Self.Incarnation {
		return
	}
	if u.State == Dead && t.credible(sender) {
		t.status.startEpoch()
	}
	t.Self.Incarnation = u.Incarnation + 1
	t.views.membersChanged = true
	update := t.selfUpdate()
	update.Details = nil
	t.updates.push(t.Self.ID, update)
}

// rejoinGrace is the time for which the table of a VM that rejoined after a
// partition may be out of date.
const rejoinGrace = 10 * time.Second

// credible reports whether a report by the sender that this VM is dead means
// that others have taken over its keys. A VM that was itself partitioned
// considers every VM dead that it could not reach.
func (t *Table) credible(sender string) bool {
	e := t.members[sender]
	return e != nil && !e.State.Gone() && t.now.Sub(e.rejoined) > rejoinGrace
}

// maxDeathNotices is the maximum number of death notices that a VM sends per
// probe interval.
const maxDeathNotices = 8

// notifyDead notifies a VM that the sender considers it dead.
func (t *Table) notifyDead(e *entry, u memberUpdate, sender string) {
	if t.detector.noticesSent >= maxDeathNotices {
		return
	}
	t.detector.noticesSent++
	u.Details = nil
	t.send(e.GossipAddress, message{Kind: gossip, Subject: sender, Updates: []memberUpdate{u}})
}
