package member

import (
	"slices"
	"strings"
)

// viewState decides when a new view is published.
type viewState struct {
	version           uint64
	membersChanged    bool // Members, states, readiness or the status of this VM changed; publish at once.
	attributesChanged bool // Attributes changed; publish at the end of the probe interval.
	intervalEnd       bool
	highestRevision   int64 // Highest active configuration revision reported by another VM.
	owners            owners
}

// publish emits a view if it differs from the last one.
func (t *Table) publish() {
	ended := t.views.intervalEnd
	t.views.intervalEnd = false
	if !t.views.membersChanged && (!t.views.attributesChanged || !ended) {
		return
	}
	all := t.all()
	changed := t.views.membersChanged
	if changed {
		t.views.version++
		t.views.owners = newOwners(all)
	}
	t.views.membersChanged = false
	t.views.attributesChanged = false
	t.actions = append(t.actions, Publish{View: t.view(all), MembersChanged: changed})
}

// compareRevision emits NewerRevision if the VM has a higher active configuration
// revision than any seen before.
func (t *Table) compareRevision(e *entry) {
	revision := e.Attributes.Revision
	if revision > max(t.views.highestRevision, t.Self.Attributes.Revision) {
		t.views.highestRevision = revision
		t.actions = append(t.actions, NewerRevision{VM: e.VM, Revision: revision})
	}
}

// all returns every known VM, including the local one, sorted by ID.
func (t *Table) all() []VM {
	self := t.Self
	self.LastHeard = t.now
	all := make([]VM, 0, len(t.sorted)+1)
	for _, e := range t.sorted {
		all = append(all, e.VM)
	}
	at, _ := slices.BinarySearchFunc(all, self, byID)
	return slices.Insert(all, at, self)
}

func (t *Table) view(all []VM) View {
	return View{
		Self:        t.Self,
		Version:     t.views.version,
		Epoch:       t.status.epoch,
		Unconfirmed: t.status.unconfirmed,
		Isolated:    t.status.isolated,
		members:     all,
		owners:      t.views.owners,
	}
}

func byID(a, b VM) int { return strings.Compare(a.ID, b.ID) }
