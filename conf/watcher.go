package conf

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
)

// isWatcher reports whether a VM watches the head, that is, whether it is one
// of the watcherCount VMs with the highest rendezvous hash. Others are the live
// VMs without self.
func isWatcher(self string, others []string) bool {
	higher := 0
	own := watcherRank(self)
	for _, vm := range others {
		if c := cmp.Or(cmp.Compare(watcherRank(vm), own), cmp.Compare(vm, self)); c > 0 {
			higher++
		}
	}
	return higher < watcherCount
}

func watcherRank(vm string) uint64 { return xxhash.Sum64String(headKey + "/" + vm) }
