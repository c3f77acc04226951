package node

import (
	"cmp"
	"slices"

	"bergamotworks/admin"
	"bergamotworks/note"
)

// status describes this node and its view of the fleet.
func (n *Node) status() admin.Status {
	config := n.conf.Current()
	status := admin.Status{
		VM:        n.Settings.VM,
		Revision:  config.Revision,
		Members:   n.memberStatus(),
		Pools:     n.owner.Status(),
		Domains:   domainStatus(config),
		Pipelines: pipelineStatus(config),

		HeldTargets: n.routes.heldTargets(),
	}
	if err := n.Ready(); err != nil {
		status.Reason = err.Error()
	} else {
		status.Ready = true
	}
	return status
}

func (n *Node) memberStatus() []admin.MemberStatus {
	var list []admin.MemberStatus
	for _, m := range n.members.View().Members() {
		list = append(list, admin.MemberStatus{
			VM: m.ID, Domain: m.Domain, State: m.State.String(), Incarnation: m.Incarnation,
			Revision: m.Attributes.Revision, Ready: m.Attributes.Ready,
		})
	}
	return list
}

func domainStatus(config note.Config) []admin.DomainStatus {
	var list []admin.DomainStatus
	for name, d := range config.Sections.Domains {
		list = append(list, admin.DomainStatus{Domain: name, State: d.State.String()})
	}
	slices.SortFunc(list, func(a, b admin.DomainStatus) int { return cmp.Compare(a.Domain, b.Domain) })
	return list
}

func pipelineStatus(config note.Config) []admin.PipelineStatus {
	var list []admin.PipelineStatus
	for name, p := range config.Sections.Pipelines {
		list = append(list, admin.PipelineStatus{Pipeline: name, Class: p.Class, Stages: len(p.Stages)})
	}
	slices.SortFunc(list, func(a, b admin.PipelineStatus) int { return cmp.Compare(a.Pipeline, b.Pipeline) })
	return list
}
