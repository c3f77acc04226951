package batch

import (
	"slices"
	"strings"

	"bergamotworks/member"
	"bergamotworks/site"
)

// minShardTargets is the mean number of targets in a failure domain from which
// a service is split. Smaller shards would often have no free target while
// others do.
const minShardTargets = 3

// shard is a part of a service's targets for which one VM batches.
type shard struct {
	owner   string // ID of the VM; empty if the membership names none.
	domain  string // Failure domain of its targets; empty if the service is not split.
	targets int    // Number of its targets that accept new work.
}

// layout is the division of a service into shards. A service with enough
// targets has a shard for each failure domain, owned by a VM of that domain if
// one may own keys: the loss of a failure domain then takes a shard and its
// owner together. Any other service has one shard.
type layout struct {
	service string
	view    member.View
	split   bool
	shards  []shard // Sorted by failure domain; never empty.
}

// newLayout returns the layout of a service whose targets that accept new work
// are usable, in the given view of the membership.
func newLayout(view member.View, service string, usable []site.Target) layout {
	l := layout{service: service, view: view}
	for _, t := range usable {
		at, ok := slices.BinarySearchFunc(l.shards, t.Domain, compareDomain)
		if !ok {
			l.shards = slices.Insert(l.shards, at, shard{domain: t.Domain})
		}
		l.shards[at].targets++
	}
	l.split = len(l.shards) > 1 && len(usable) >= minShardTargets*len(l.shards)
	if !l.split {
		l.shards = []shard{{targets: len(usable)}}
	}
	for i := range l.shards {
		l.shards[i].owner = l.owner(l.shards[i].domain)
	}
	return l
}

func compareDomain(s shard, domain string) int { return strings.Compare(s.domain, domain) }

// owner returns the ID of the VM that batches for the targets of a failure
// domain, whether or not one of them accepts new work. It is empty if the
// membership names none.
func (l layout) owner(domain string) string {
	if !l.split {
		vm, _ := l.view.Owner(ownerPrefix + l.service)
		return vm.ID
	}
	vm, _ := l.view.OwnerIn(ownerPrefix+l.service+"/"+domain, domain)
	return vm.ID
}

// ownedBy reports whether a VM owns a shard. If the membership names no owner,
// each VM owns all shards in its own view.
func (l layout) ownedBy(vm string) bool {
	return slices.ContainsFunc(l.shards, func(s shard) bool { return s.owner == vm || s.owner == "" })
}

// targetsOf returns those of the usable targets that are in shards of a VM.
func (l layout) targetsOf(vm string, usable []site.Target) []site.Target {
	if !l.split {
		if l.ownedBy(vm) {
			return usable
		}
		return nil
	}
	var owned []site.Target
	for _, t := range usable {
		at, ok := slices.BinarySearchFunc(l.shards, t.Domain, compareDomain)
		if ok && (l.shards[at].owner == vm || l.shards[at].owner == "") {
			owned = append(owned, t)
		}
	}
	return owned
}

// ownerFor returns the owner to which a VM that owns no shard redirects work:
// that of the work's preferred failure domain, if the service has targets there.
func (l layout) ownerFor(w Work) string {
	if at, ok := slices.BinarySearchFunc(l.shards, w.Domain, compareDomain); ok {
		return l.shards[at].owner
	}
	return l.shards[0].owner
}
