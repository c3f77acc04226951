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

// learn tells the configuration which members have a newer revision in force.
func (n *Node) learn() {
	own := n.conf.Current().Revision
	for _, m := range n.members.View().Members() {
		if m.Attributes.Revision > own && m.State.Live() {
			n.conf.ObserveRevision(m.ID, m.Attributes.Revision)
		}
	}
}

// liveMembers names the live members for the configuration.
type liveMembers struct{ members *member.Service }

// Live returns the identifiers of the live VMs.
func (l liveMembers) Live() []string {
	var names []string
	for _, m := range l.members.View().Live() {
		names = append(names, m.ID)
	}
	return names
}

func (n *Node) configChanged(config note.Config) {
	n.flow.Configured(config)
	n.routes.configured(config)
	n.burns.Configure(config.Sections.Objectives)
	n.changes.add(n.Clock.Now(), config)
	n.owner.Changed()
	n.members.SetAttributes(n.attributes())
}

// rumorCrash is the kind of rumour that tells of crashes by a fingerprint.
const rumorCrash = "crash"

func (n *Node) spreadCrash(rumour poison.Rumour) {
	n.members.Broadcast(member.Announcement{
		Kind: rumorCrash, Key: rumour.Fingerprint, Value: int64(len(rumour.Crashes) - len(rumour.Cleared)), Until: rumour.Until,
	})
}

func (n *Node) spreadLoss(c relay.Crash) { n.members.Broadcast(c.Announcement()) }

func (n *Node) receiveRumor(rumor member.Announcement) {
	if rumor.Kind == rumorCrash {
		n.flow.ObserveCrashes(rumor.Key, int(rumor.Value), rumor.Until)
	}
	if c, ok := relay.CrashFromAnnouncement(rumor); ok && n.routes != nil {
		n.routes.server.ObserveCrash(c)
	}
}
