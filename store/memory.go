package store

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"bergamotworks/fault"
	"bergamotworks/ports"
)

// MaxValueBytes is the maximum size of a value in the platform's service.
const MaxValueBytes = 1 << 20

// Memory is an in-memory [ports.Store]. The zero value is an empty store that
// uses the system clock. Clock may be set before the first call.
type Memory struct {
	Clock ports.Clock

	mutex        sync.Mutex
	revision     int64
	entries      map[string]ports.KeyValue
	log          changeLog
	leases       map[ports.LeaseID]memoryLease
	leaseID      ports.LeaseID
	watchers     map[*memoryWatcher]struct{}
	callCounts   map[CallKind]int64
	bytesWritten int64
}

// Range returns one key, or all keys with a prefix in key order.
func (m *Memory) Range(ctx context.Context, request ports.RangeRequest) (ports.RangeResponse, error) {
	if err := ctx.Err(); err != nil {
		return ports.RangeResponse{}, notSentError(err)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.beginCall(CallRange)
	return findEntries(m.entries, request, m.revision), nil
}

// RangeAt returns what [Memory.Range] would have returned at an older revision.
// If that revision has been compacted, it uses the oldest one that is available.
func (m *Memory) RangeAt(ctx context.Context, request ports.RangeRequest, revision int64) (ports.RangeResponse, error) {
	if err := ctx.Err(); err != nil {
		return ports.RangeResponse{}, notSentError(err)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.beginCall(CallRange)
	revision = min(max(revision, m.log.compacted), m.revision)
	return findEntries(m.log.entriesAt(m.entries, revision), request, revision), nil
}

// Commit applies the operations if all comparisons hold.
func (m *Memory) Commit(ctx context.Context, txn ports.Txn) (ports.TxnResponse, error) {
	if err := ctx.Err(); err != nil {
		return ports.TxnResponse{}, notSentError(err)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.beginCall(CallCommit)
	if err := m.checkTxn(txn); err != nil {
		return ports.TxnResponse{}, err
	}
	for _, c := range txn.Compares {
		e := m.entries[c.Key]
		if e.ModRevision != c.ModRevision || c.Value != nil && !bytes.Equal(e.Value, c.Value) {
			return ports.TxnResponse{Revision: m.revision}, nil
		}
	}
	m.apply(txn.Then)
	return ports.TxnResponse{Succeeded: true, Revision: m.revision}, nil
}

// Calls returns the number of calls of one kind since the store was created.
func (m *Memory) Calls(call CallKind) int64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.callCounts[call]
}

// Counts returns the number of calls by kind since the store was created.
func (m *Memory) Counts() map[CallKind]int64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return maps.Clone(m.callCounts)
}

// BytesWritten returns the total size of all values that were put, in bytes.
func (m *Memory) BytesWritten() int64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.bytesWritten
}

// beginCall counts a call and removes expired leases. The first call initializes
// the store.
func (m *Memory) beginCall(call CallKind) {
	if m.callCounts == nil {
		m.callCounts = map[CallKind]int64{}
		m.entries = map[string]ports.KeyValue{}
		m.leases = map[ports.LeaseID]memoryLease{}
		m.watchers = map[*memoryWatcher]struct{}{}
	}
	m.callCounts[call]++
	m.expireLeases()
}

func (m *Memory) checkTxn(txn ports.Txn) error {
	seen := map[string]bool{}
	for _, o := range txn.Then {
		p, ok := o.(ports.Put)
		if !ok {
			continue
		}
		if len(p.Value) > MaxValueBytes {
			return fault.New(fault.TooLarge, fault.NotRun, "value of key %s has %d bytes", p.Key, len(p.Value))
		}
		if seen[p.Key] {
			return fault.New(fault.Invalid, fault.NotRun, "key %s is put twice", p.Key)
		}
		if _, ok := m.leases[p.Lease]; p.Lease != 0 && !ok {
			return fault.New(fault.NotFound, fault.NotRun, "lease %d not found", p.Lease)
		}
		seen[p.Key] = true
	}
	return nil
}

// apply applies the operations at one new revision and notifies the watchers.
func (m *Memory) apply(operations []ports.Op) {
	revision := m.revision + 1
	var changes []change
	for _, o := range operations {
		switch o := o.(type) {
		case ports.Put:
			changes = append(changes, m.put(o, revision))
		case ports.Delete:
			changes = append(changes, m.remove(o, revision)...)
		}
	}
	if len(changes) == 0 {
		return
	}
	m.revision = revision
	m.log.add(changes)
	for w := range m.watchers {
		w.deliver(changes)
	}
}

func (m *Memory) put(p ports.Put, revision int64) change {
	before := m.entries[p.Key]
	after := ports.KeyValue{
		Key:            p.Key,
		Value:          bytes.Clone(p.Value),
		CreateRevision: before.CreateRevision,
		ModRevision:    revision,
		Version:        before.Version + 1,
		Lease:          p.Lease,
	}
	if before.ModRevision == 0 {
		after.CreateRevision = revision
	}
	m.entries[p.Key] = after
	m.bytesWritten += int64(len(p.Value))
	return change{revision: revision, before: before, event: ports.WatchEvent{Entry: after}}
}

func (m *Memory) remove(d ports.Delete, revision int64) []change {
	found := findEntries(m.entries, ports.RangeRequest{Key: d.Key, Prefix: d.Prefix}, revision)
	var changes []change
	for _, e := range found.Entries {
		deleted := ports.KeyValue{Key: e.Key, ModRevision: revision}
		delete(m.entries, e.Key)
		changes = append(changes, change{
			revision: revision,
			before:   e,
			event:    ports.WatchEvent{Entry: deleted, Deleted: true},
		})
	}
	return changes
}

func (m *Memory) now() time.Time { return clockOf(m.Clock).Now() }

func findEntries(entries map[string]ports.KeyValue, request ports.RangeRequest, revision int64) ports.RangeResponse {
	response := ports.RangeResponse{Revision: revision}
	if !request.Prefix {
		if e, ok := entries[request.Key]; ok {
			response.Entries = []ports.KeyValue{clone(e)}
		}
		return response
	}
	for _, k := range slices.Sorted(maps.Keys(entries)) {
		if !strings.HasPrefix(k, request.Key) {
			continue
		}
		if request.Limit > 0 && len(response.Entries) == request.Limit {
			break
		}
		response.Entries = append(response.Entries, clone(entries[k]))
	}
	return response
}

func clone(entry ports.KeyValue) ports.KeyValue {
	entry.Value = bytes.Clone(entry.Value)
	return entry
}

func clockOf(clock ports.Clock) ports.Clock {
	if clock == nil {
		return ports.SystemClock{}
	}
	return clock
}

// notSentError returns the error of a context that was done before its call was
// sent.
func notSentError(err error) error {
	return fault.From(err).WithVerdict(fault.NotRun)
}
