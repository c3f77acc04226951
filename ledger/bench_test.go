package ledger

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"bergamotworks/ports"
)

// driveCalls creates and completes stage calls in a shard, each with a result of
// 300 bytes. The clock advances by a commit interval after every ten calls. The
// shard is not the writer, so it commits at every second advance.
func driveCalls(s *Shard, calls int) {
	now := time.Unix(1_800_000_000, 0)
	revision := int64(0)
	respond := func(actions []Action) {
		for len(actions) > 0 {
			var next []Action
			for _, action := range actions {
				switch action.(type) {
				case Load:
					next = append(next, s.Step(now, LoadCompleted{Entries: []ports.KeyValue{}})...)
				case Commit:
					revision++
					next = append(next, s.Step(now, CommitCompleted{Result: Applied, Revision: revision})...)
				}
			}
			actions = next
		}
	}
	for i := range calls {
		subject := Subject{
			Key:   Key{Account: "toits_unis", ID: fmt.Sprintf("01990000-0000-7000-8000-%012d", i), Stage: "order"},
			Token: fmt.Sprintf("vm0/%032d", i), CreatedMS: now.UnixMilli(), Fingerprint: "0123456789abcdef",
		}
		respond(s.Step(now, OpSubmitted{ID: uint64(2 * i), Op: Create{subject}}))
		respond(s.Step(now, OpSubmitted{ID: uint64(2*i + 1), Op: Complete{subject, make([]byte, 300)}}))
		if i%10 == 9 {
			now = now.Add(DefaultMinCommitInterval)
			respond(s.Step(now, TimerFired{}))
		}
	}
}

// BenchmarkStageCall measures the CPU time of the two operations of one stage
// call, a create and a complete.
func BenchmarkStageCall(b *testing.B) {
	b.ReportAllocs()
	driveCalls(&Shard{}, b.N)
}

// BenchmarkRecordMemory measures the heap memory per record.
func BenchmarkRecordMemory(b *testing.B) {
	var before, after runtime.MemStats
	s := &Shard{}
	runtime.GC()
	runtime.ReadMemStats(&before)
	driveCalls(s, max(b.N, 10_000))
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(s.Stats().Records), "heap_B/record")
	runtime.KeepAlive(s)
}
