package store

import (
	"maps"

	"bergamotworks/fault"
	"bergamotworks/ports"
)

// Snapshot is the state of a [Memory] at one revision.
type Snapshot struct {
	revision int64
	entries  map[string]ports.KeyValue
	log      changeLog
}

// Snapshot returns the current state without leases.
func (m *Memory) Snapshot() Snapshot {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return Snapshot{revision: m.revision, entries: maps.Clone(m.entries), log: m.log}
}

// Restore restores an earlier state, like a store that is rebuilt from a backup.
// The zero Snapshot empties the store. Watches fail and leases are removed.
func (m *Memory) Restore(snapshot Snapshot) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for w := range m.watchers {
		w.fail(fault.New(fault.ConnectionLost, fault.NotRun, "store was restored"))
	}
	m.revision = snapshot.revision
	m.entries = maps.Clone(snapshot.entries)
	if m.entries == nil {
		m.entries = map[string]ports.KeyValue{}
	}
	m.log = changeLog{compacted: snapshot.revision}
	m.leases = map[ports.LeaseID]memoryLease{}
}
