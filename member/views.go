package member

import (
	"slices"
	"strings"
)

// views decides when a new view is handed out.
type views struct {
	version   uint64
	stale     bool // Members, states or readiness changed: publish at once.
	worn      bool // Attributes changed: publish at the end of the period.
	periodEnd bool
	revision  int64 // Highest configuration revision heard of.
	owners    owners
}

// publish hands out a view if there is something new in it.
func (t *Table) publish() {
	ended := t.views.periodEnd
	t.views.periodEnd = false
	if !t.views.stale && (!t.views.worn || !ended) {
		return
	}
	all := t.all()
	changed := t.views.stale
	if changed {
		t.views.version++
		t.views.owners = newOwners(all)
	}
	t.views.stale = false
	t.views.worn = false
	t.actions = append(t.actions, Publish{View: t.view(all), MembersChanged: changed})
}

// compareRevision reports a configuration revision that is new to this VM.
func (t *Table) compareRevision(e *entry) {
	revision := e.Attributes.Revision
	if revision > max(t.views.revision, t.Self.Attributes.Revision) {
		t.views.revision = revision
		t.actions = append(t.actions, NewerRevision{VM: e.VM, Revision: revision})
	}
}

// all returns every VM that is known, the own one included, by ID.
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
		Epoch:       t.trust.epoch,
		Unconfirmed: t.trust.doubt,
		Isolated:    t.trust.cutOff,
		members:     all,
		owners:      t.views.owners,
	}
}

func byID(a, b VM) int { return strings.Compare(a.ID, b.ID) }
