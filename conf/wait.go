package conf

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"bergamotworks/fault"
)

const waitPeriod = 100 * time.Millisecond

// Lagging returns the sorted names of the VMs on which an older revision than
// the given one is in force.
func Lagging(revision int64, inForce map[string]int64) []string {
	var vms []string
	for _, vm := range slices.Sorted(maps.Keys(inForce)) {
		if inForce[vm] < revision {
			vms = append(vms, vm)
		}
	}
	return vms
}

// Wait returns once the revision is in force on all VMs that inForce names. If
// the context ends before, it fails with fault.DeadlineExceeded, the verdict
// Ran and the names of the VMs that lag.
func (s *Service) Wait(ctx context.Context, revision int64, inForce func() map[string]int64) error {
	for {
		lagging := Lagging(revision, inForce())
		if len(lagging) == 0 {
			return nil
		}
		select {
		case <-s.Clock.After(waitPeriod):
		case <-ctx.Done():
			return fault.New(fault.DeadlineExceeded, fault.Ran, "revision %d is accepted but not yet in force on %s",
				revision, strings.Join(lagging, ", "))
		}
	}
}
