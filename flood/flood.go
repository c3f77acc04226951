// Package flood has what the tests of peers that send bytes without end share.
package flood

import (
	"io"
	"runtime"
	"runtime/metrics"
	"strings"
	"time"
)

const (
	// SmallestMemory is the memory of the smallest machine in bytes.
	SmallestMemory = 144_000_000
	// SmallestDescriptors is the number of descriptors of the smallest machine.
	SmallestDescriptors = 3075
	// MaxHeap is the most memory in bytes that peers may make a node hold.
	MaxHeap = SmallestMemory / 3

	blockBytes = 32 << 10 // Of one write of [Send].
)

// Send writes start and then repeat until that fails. It returns the number of bytes
// written and the error.
func Send(w io.Writer, start, repeat string) (int, error) {
	sent, err := io.WriteString(w, start)
	block := []byte(strings.Repeat(repeat, 1+blockBytes/len(repeat)))
	for err == nil {
		var n int
		n, err = w.Write(block)
		sent += n
	}
	return sent, err
}

// Meter measures the bytes of live objects at garbage collections, one after the other.
type Meter struct {
	done chan struct{}
	most chan uint64
}

// StartMeter returns a meter that measures until it is stopped.
func StartMeter() *Meter {
	m := &Meter{done: make(chan struct{}), most: make(chan uint64)}
	go m.loop()
	return m
}

func (m *Meter) loop() {
	var most uint64
	for {
		runtime.GC()
		live := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
		metrics.Read(live)
		most = max(most, live[0].Value.Uint64())
		select {
		case <-m.done:
			m.most <- most
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// Stop ends the measurement and returns the highest number of bytes.
func (m *Meter) Stop() uint64 {
	close(m.done)
	return <-m.most
}
