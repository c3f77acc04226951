// Package logs writes log lines without blocking the goroutines that log.
package logs

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bergamotworks/ports"
)

const (
	maxQueuedLines = 4096 // Maximum number of lines queued for the output.
	defaultRate    = 2000 // Lines per second.
	defaultBurst   = 4000
	maxWriteBytes  = 32 << 10 // Size from which a buffer is written.
)

// Writer queues lines for an output that may be slow or blocked. Lines above
// the rate limit or the capacity of the queue are dropped and counted, and a
// log line reports how many. The exported fields are set before [Writer.Start].
type Writer struct {
	Out   io.Writer
	Clock ports.Clock
	// Rate is the limit in lines per second, and Burst the number of lines
	// accepted at once; zero means 2,000 and 4,000.
	Rate    float64
	Burst   float64
	Metrics *metrics.Set

	mutex        sync.Mutex
	queue        chan []byte
	closed       bool
	tokens       float64
	refilled     time.Time
	dropped      int
	droppedTotal *metrics.Counter
	running      sync.WaitGroup
}

// Start starts the goroutine that writes to Out. It must be called before Write.
func (w *Writer) Start() {
	if w.Rate == 0 {
		w.Rate = defaultRate
	}
	if w.Burst == 0 {
		w.Burst = defaultBurst
	}
	w.queue = make(chan []byte, maxQueuedLines)
	w.tokens, w.refilled = w.Burst, w.Clock.Now()
	w.droppedTotal = w.Metrics.NewCounter("log_lines_dropped_total")
	w.running.Add(1)
	go w.loop()
}

// Write queues one line. It never blocks and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.closed || !w.allow() {
		w.countDropped()
		return len(line), nil
	}
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.countDropped()
	}
	return len(line), nil
}

// allow takes one line from the token bucket.
func (w *Writer) allow() bool {
	now := w.Clock.Now()
	w.tokens = min(w.Burst, w.tokens+w.Rate*now.Sub(w.refilled).Seconds())
	w.refilled = now
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

func (w *Writer) countDropped() {
	w.dropped++
	w.droppedTotal.Inc()
}

// loop writes the queued lines, batching those that are available, and finally
// reports the lines dropped after the last one.
func (w *Writer) loop() {
	defer w.running.Done()
	buffer := make([]byte, 0, maxWriteBytes)
	for line := range w.queue {
		buffer = append(buffer[:0], line...)
		buffer = w.appendQueued(buffer)
		buffer = append(buffer, w.droppedSummary()...)
		_, _ = w.Out.Write(buffer) // An error cannot be reported elsewhere.
	}
	if line := w.droppedSummary(); line != "" {
		_, _ = io.WriteString(w.Out, line) // An error cannot be reported elsewhere.
	}
}

// appendQueued appends the lines that are queued, until the buffer holds at least
// maxWriteBytes.
func (w *Writer) appendQueued(buffer []byte) []byte {
	for len(buffer) < maxWriteBytes {
		select {
		case line, ok := <-w.queue:
			if !ok {
				return buffer
			}
			buffer = append(buffer, line...)
		default:
			return buffer
		}
	}
	return buffer
}

// droppedSummary returns a log line with the number of lines dropped since the
// last call, or an empty string if there are none.
func (w *Writer) droppedSummary() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.dropped == 0 {
		return ""
	}
	n := w.dropped
	w.dropped = 0
	return fmt.Sprintf("{\"level\":\"warning\",\"lines\":%d,\"msg\":\"log lines dropped\"}\n", n)
}

// Close writes the queued lines and stops. Lines written afterwards are
// dropped. It returns nil.
func (w *Writer) Close() error {
	w.mutex.Lock()
	if !w.closed {
		w.closed = true
		close(w.queue)
	}
	w.mutex.Unlock()
	w.running.Wait()
	return nil
}
