package trial

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range of the recorded times in microseconds, and their precision.
const (
	shortestMicros = 1
	longestMicros  = 600_000_000
	digits         = 3
)

// tally gathers what callers met.
type tally struct {
	mutex   sync.Mutex
	records []record
	latency *hdrhistogram.Histogram
	first   *hdrhistogram.Histogram
	between *hdrhistogram.Histogram
	turns   atomic.Uint64
}

func newTally() *tally {
	return &tally{latency: newHistogram(), first: newHistogram(), between: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(shortestMicros, longestMicros, digits)
}

// turn returns the next number, to spread callers over nodes.
func (t *tally) turn() uint64 { return t.turns.Add(1) }

func (t *tally) add(r record) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.records = append(t.records, r)
	if r.planned.tallied && r.answered {
		observe(t.latency, r.latency)
	}
}

// times adds the times of the tokens of a stream.
func (t *tally) times(r response) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if r.first > 0 {
		observe(t.first, r.first)
	}
	for _, v := range r.intervals {
		observe(t.between, v)
	}
}

// observe records a time; one beyond the range counts as the longest.
func observe(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), shortestMicros), longestMicros))
}
