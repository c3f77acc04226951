package peer

import (
	"context"
	"fmt"
	"runtime"
	"strconv"
	"syscall"
	"testing"
	"time"
)

// BenchmarkIdle reports the memory and the CPU time that one idle connection
// costs, counting both ends.
func BenchmarkIdle(b *testing.B) {
	for _, links := range []int{8, 64, 400} {
		b.Run(fmt.Sprintf("links=%d", links), func(b *testing.B) {
			for b.Loop() {
				measureIdle(b, links)
			}
		})
	}
}

// idleTime is how long the CPU time of idle connections is sampled.
const idleTime = 3 * time.Second

func measureIdle(b *testing.B, links int) {
	b.Helper()
	server, client := benchmarkPair(b)
	defer func() { _ = server.Close(); _ = client.Close() }()
	before := memoryInUse()
	for i := range links {
		var got string
		if err := client.Call(context.Background(), strconv.Itoa(i), "echo", "text", &got); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(memoryInUse()-before)/1024/float64(links), "KiB/link")
	start := processTime()
	time.Sleep(idleTime)
	used := processTime() - start
	b.ReportMetric(float64(used.Microseconds())/idleTime.Seconds()/float64(links), "cpu-us/link-s")
}

func memoryInUse() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// processTime returns the CPU time used by the process.
func processTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
