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
	id        ports.LeaseID
	ttl       time.Duration
	expiresAt time.Time
}

// Grant creates a lease.
func (m *Memory) Grant(ctx context.Context, ttl time.Duration) (ports.LeaseID, error) {
	if err := ctx.Err(); err != nil {
		return 0, notSentError(err)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.beginCall(CallGrant)
	if ttl <= 0 {
		return 0, fault.New(fault.Invalid, fault.NotRun, "lease needs a time above zero, not %s", ttl)
	}
	m.leaseID++
	m.leases[m.leaseID] = memoryLease{id: m.leaseID, ttl: ttl, expiresAt: m.now().Add(ttl)}
	return m.leaseID, nil
}

// KeepAlive renews a lease. It returns a fault.NotFound error if the lease has
// expired.
func (m *Memory) KeepAlive(ctx context.Context, lease ports.LeaseID) error {
	if err := ctx.Err(); err != nil {
		return notSentError(err)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.beginCall(CallKeepAlive)
	l, ok := m.leases[lease]
	if !ok {
		return leaseNotFound(lease)
	}
	l.expiresAt = m.now().Add(l.ttl)
	m.leases[lease] = l
	return nil
}

// Revoke ends a lease and deletes its keys.
func (m *Memory) Revoke(ctx context.Context, lease ports.LeaseID) error {
	if err := ctx.Err(); err != nil {
		return notSentError(err)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.beginCall(CallRevoke)
	if _, ok := m.leases[lease]; !ok {
		return leaseNotFound(lease)
	}
	m.removeLease(lease)
	return nil
}

// expireLeases removes expired leases in the order of their expiry times.
func (m *Memory) expireLeases() {
	now := m.now()
	var expired []memoryLease
	for _, l := range m.leases {
		if !now.Before(l.expiresAt) {
			expired = append(expired, l)
		}
	}
	slices.SortFunc(expired, func(a, b memoryLease) int {
		return cmp.Or(a.expiresAt.Compare(b.expiresAt), cmp.Compare(a.id, b.id))
	})
	for _, l := range expired {
		m.removeLease(l.id)
	}
}

// removeLease removes a lease and deletes its keys.
func (m *Memory) removeLease(lease ports.LeaseID) {
	delete(m.leases, lease)
	var operations []ports.Op
	for _, k := range slices.Sorted(maps.Keys(m.entries)) {
		if m.entries[k].Lease == lease {
			operations = append(operations, ports.Delete{Key: k})
		}
	}
	m.apply(operations)
}

// nextExpiry returns the time at which the next lease expires. It reports false
// if there is no lease.
func (m *Memory) nextExpiry() (time.Time, bool) {
	var next time.Time
	for _, l := range m.leases {
		if next.IsZero() || l.expiresAt.Before(next) {
			next = l.expiresAt
		}
	}
	return next, !next.IsZero()
}

func leaseNotFound(lease ports.LeaseID) error {
	return fault.New(fault.NotFound, fault.NotRun, "lease %d not found", lease)
}
