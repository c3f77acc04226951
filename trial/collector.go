package trial

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the recorded times in microseconds, and their decimal precision.
const (
	minMicros          = 1
	maxMicros          = 600_000_000
	significantFigures = 3
)

// collector collects the records and the times of all clients.
type collector struct {
	mutex         sync.Mutex
	records       []record
	latency       *hdrhistogram.Histogram
	firstToken    *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
	turns         atomic.Uint64
}

func newCollector() *collector {
	return &collector{latency: newHistogram(), firstToken: newHistogram(), betweenTokens: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, significantFigures)
}

// nextTurn returns a counter's next value, by which attempts are spread over the
// nodes round robin.
func (c *collector) nextTurn() uint64 { return c.turns.Add(1) }

func (c *collector) add(r record) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.records = append(c.records, r)
	if r.request.counted && r.succeeded {
		observe(c.latency, r.latency)
	}
}

// addTokenTimes adds the time to the first token and the intervals between the
// tokens of a stream.
func (c *collector) addTokenTimes(r response) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if r.firstToken > 0 {
		observe(c.firstToken, r.firstToken)
	}
	for _, v := range r.intervals {
		observe(c.betweenTokens, v)
	}
}

// observe records a time, limited to the range of the histogram.
func observe(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
}
