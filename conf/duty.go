package conf

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
)

// onDuty reports whether a VM is among the first watchers by rendezvous rank.
func onDuty(self string, others []string) bool {
	ahead := 0
	own := rank(self)
	for _, vm := range others {
		if c := cmp.Or(cmp.Compare(rank(vm), own), cmp.Compare(vm, self)); c > 0 {
			ahead++
		}
	}
	return ahead < watcherCount
}

func rank(vm string) uint64 { return xxhash.Sum64String(headKey + "/" + vm) }
