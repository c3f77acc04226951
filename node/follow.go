package node

import (
	"bergamotworks/member"
	"bergamotworks/note"
	"bergamotworks/poison"
	"bergamotworks/relay"
)

func (n *Node) membersChanged(member.View) {
	n.owner.Changed()
}

// reportRevisions reports to the configuration service which live members have a
// newer active revision.
func (n *Node) reportRevisions() {
	own := n.conf.Current().Revision
	for _, m := range n.members.View().Members() {
		if m.Attributes.Revision > own && m.State.Live() {
			n.conf.ObserveRevision(m.ID, m.Attributes.Revision)
		}
	}
}

// liveMembers provides the live members to the configuration service.
type liveMembers struct{ members *member.Service }

// Live returns the IDs of the live VMs, including this one.
func (l liveMembers) Live() []string {
	var names []string
	for _, m := range l.members.View().Live() {
		names = append(names, m.ID)
	}
	return names
}

// configChanged applies a configuration that has become active.
func (n *Node) configChanged(config note.Config) {
	n.rollouts.configChanged(config)
	n.flow.Configure(config)
	n.routes.configChanged(config)
	n.burns.Configure(config.Sections.Objectives)
	n.changes.add(n.Clock.Now(), config)
	n.owner.Changed()
	n.members.SetAttributes(n.attributes())
}

// crashAnnouncement is the kind of announcement that reports crashes caused by
// requests with a fingerprint.
const crashAnnouncement = "crash"

// broadcastCrash announces the number of crashes that a fingerprint has caused and
// that have not been cleared.
func (n *Node) broadcastCrash(crash poison.Announcement) {
	n.members.Broadcast(member.Announcement{
		Kind: crashAnnouncement, Key: crash.Fingerprint, Value: int64(len(crash.Crashes) - len(crash.Cleared)), Until: crash.Until,
	})
}

func (n *Node) broadcastEvidence(e poison.Evidence) {
	n.members.Broadcast(relay.EvidenceAnnouncement(e))
}

func (n *Node) broadcastTargetReport(r relay.TargetReport) { n.members.Broadcast(r.Announcement()) }

func (n *Node) broadcastTargetSpeed(s relay.TargetSpeed) { n.members.Broadcast(s.Announcement()) }

func (n *Node) receiveAnnouncement(announcement member.Announcement) {
	n.rollouts.receiveAnnouncement(announcement)
	if r, ok := relay.TargetReportFromAnnouncement(announcement); ok && n.routes != nil {
		n.routes.server.ObserveTargetReport(r)
		return
	}
	if s, ok := relay.TargetSpeedFromAnnouncement(announcement); ok && n.routes != nil {
		n.routes.server.ObserveTargetSpeed(s)
		return
	}
	if announcement.Kind == crashAnnouncement {
		n.flow.ObserveCrashes(announcement.Key, int(announcement.Value), announcement.Until)
	}
	if e, ok := relay.EvidenceFromAnnouncement(announcement); ok && n.routes != nil {
		n.routes.server.ObserveEvidence(e)
	}
}
