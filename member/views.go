package member

// views decides when a new view is handed out.
type views struct {
	version   uint64
	stale     bool // Members, states or readiness changed: publish at once.
	worn      bool // Attributes changed: publish at the end of the period.
	periodEnd bool
}

// publish hands out a view if there is something new in it.
func (t *Table) publish() {
	ended := t.views.periodEnd
	t.views.periodEnd = false
	if !t.views.stale && (!t.views.worn || !ended) {
		return
	}
	members := t.views.stale
	if members {
		t.views.version++
	}
	t.views.stale = false
	t.views.worn = false
	t.actions = append(t.actions, Publish{View: t.view(), Members: members})
}

func (t *Table) view() View {
	all := make([]VM, 0, len(t.members)+1)
	self := t.Self
	self.Heard = t.now
	inserted := false
	for _, id := range sortedKeys(t.members) {
		if !inserted && t.Self.ID < id {
			all = append(all, self)
			inserted = true
		}
		all = append(all, t.members[id].VM)
	}
	if !inserted {
		all = append(all, self)
	}
	return View{
		Self:    self,
		Version: t.views.version,
		Epoch:   t.trust.epoch,
		Doubt:   t.trust.doubt,
		CutOff:  t.trust.cutOff,
		members: all,
		owners:  newOwners(all),
	}
}
