package member

import (
	"cmp"
	"slices"
)

// NewView returns a view whose members are the given VMs, including self. It is
// for single-node deployments and for tests of packages that use views.
func NewView(self VM, others ...VM) View {
	all := append([]VM{self}, others...)
	slices.SortFunc(all, func(a, b VM) int { return cmp.Compare(a.ID, b.ID) })
	return View{Self: self, Version: 1, members: all, owners: newOwners(all)}
}
