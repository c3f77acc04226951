package conf

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"bergamotworks/fault"
)

const waitPollInterval = 100 * time.Millisecond

// Lagging returns the sorted names of the VMs whose active revision is older
// than the given one.
func Lagging(revision int64, active map[string]int64) []string {
	var vms []string
	for _, vm := range slices.Sorted(maps.Keys(active)) {
		if active[vm] < revision {
			vms = append(vms, vm)
		}
	}
	return vms
}

// Wait blocks until the revision is active on all VMs in the result of active,
// which it calls every 100 ms. If the context ends first, the error is of kind
// fault.DeadlineExceeded, has the verdict Ran and names the VMs that lag.
func (s *Service) Wait(ctx context.Context, revision int64, active func() map[string]int64) error {
	for {
		lagging := Lagging(revision, active())
		if len(lagging) == 0 {
			return nil
		}
		select {
		case <-s.Clock.After(waitPollInterval):
		case <-ctx.Done():
			return fault.New(fault.DeadlineExceeded, fault.Ran, "revision %d is accepted but not yet in force on %s",
				revision, strings.Join(lagging, ", "))
		}
	}
}
