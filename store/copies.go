package store

import (
	"context"
	"os"
	"time"

	"bergamotworks/ports"
)

const (
	copyInterval = 500 * time.Millisecond
	// copyCount is the number of copies that are kept; the oldest one is restored.
	copyCount = 6
)

// Copies keeps copies of a [Memory] and restores it from one that is about three seconds
// old, like a service that comes back from a backup. The exported fields are set before
// [Copies.Run].
type Copies struct {
	Memory   *Memory
	Clock    ports.Clock
	Requests <-chan os.Signal // Each signal asks for a restore.

	kept []Snapshot // Oldest first.
}

// Run makes copies and restores the store until the context ends. It returns nil.
func (c *Copies) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.Requests:
			if len(c.kept) > 0 {
				c.Memory.Restore(c.kept[0])
			}
			c.kept = nil
		case <-c.Clock.After(copyInterval):
			c.kept = append(c.kept, c.Memory.Snapshot())
			c.kept = c.kept[max(0, len(c.kept)-copyCount):]
		}
	}
}
