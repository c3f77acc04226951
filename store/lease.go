package store

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"bergamotworks/fault"
	"bergamotworks/ports"
)

type memoryLease struct {
	id      ports.LeaseID
	ttl     time.Duration
	expires time.Time
}

// Grant creates a lease.
func (m *Memory) Grant(ctx context.Context, ttl time.Duration) (ports.LeaseID, error) {
	if err := ctx.Err(); err != nil {
		return 0, neverSent(err)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.begin(CallGrant)
	if ttl <= 0 {
		return 0, fault.New(fault.Invalid, fault.NotRun, "lease needs a time above zero, not %s", ttl)
	}
	m.leaseID++
	m.leases[m.leaseID] = memoryLease{id: m.leaseID, ttl: ttl, expires: m.now().Add(ttl)}
	return m.leaseID, nil
}

// KeepAlive renews a lease.
func (m *Memory) KeepAlive(ctx context.Context, lease ports.LeaseID) error {
	if err := ctx.Err(); err != nil {
		return neverSent(err)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.begin(CallKeepAlive)
	l, ok := m.leases[lease]
	if !ok {
		return leaseNotFound(lease)
	}
	l.expires = m.now().Add(l.ttl)
	m.leases[lease] = l
	return nil
}

// Revoke ends a lease and deletes its keys.
func (m *Memory) Revoke(ctx context.Context, lease ports.LeaseID) error {
	if err := ctx.Err(); err != nil {
		return neverSent(err)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.begin(CallRevoke)
	if _, ok := m.leases[lease]; !ok {
		return leaseNotFound(lease)
	}
	m.end(lease)
	return nil
}

// expire ends the leases that have lapsed, in the order of their ends.
func (m *Memory) expire() {
	now := m.now()
	var lapsed []memoryLease
	for _, l := range m.leases {
		if !now.Before(l.expires) {
			lapsed = append(lapsed, l)
		}
	}
	slices.SortFunc(lapsed, func(a, b memoryLease) int {
		return cmp.Or(a.expires.Compare(b.expires), cmp.Compare(a.id, b.id))
	})
	for _, l := range lapsed {
		m.end(l.id)
	}
}

func (m *Memory) end(lease ports.LeaseID) {
	delete(m.leases, lease)
	var operations []ports.Op
	for _, k := range slices.Sorted(maps.Keys(m.entries)) {
		if m.entries[k].Lease == lease {
			operations = append(operations, ports.Delete{Key: k})
		}
	}
	m.apply(operations)
}

// nextExpiry returns when the next lease lapses, and false if there is none.
func (m *Memory) nextExpiry() (time.Time, bool) {
	var next time.Time
	for _, l := range m.leases {
		if next.IsZero() || l.expires.Before(next) {
			next = l.expires
		}
	}
	return next, !next.IsZero()
}

func leaseNotFound(lease ports.LeaseID) error {
	return fault.New(fault.NotFound, fault.NotRun, "lease %d not found", lease)
}
