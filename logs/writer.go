// Package logs writes log lines without holding up the work that they tell of.
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
	queueLines   = 4096 // Lines that wait for the output.
	defaultRate  = 2000 // Lines a second.
	defaultBurst = 4000
	chunkBytes   = 32 << 10
)

// Writer passes lines on to an output that may be slow or blocked. Lines beyond
// the rate or the queue are dropped, counted and told of by a line of their own.
// The exported fields are set before [Writer.Start].
type Writer struct {
	Out   io.Writer
	Clock ports.Clock
	// Rate is the number of lines a second, and Burst the number of lines at
	// once; zero means 2,000 and 4,000.
	Rate    float64
	Burst   float64
	Metrics *metrics.Set

	mutex   sync.Mutex
	queue   chan []byte
	closed  bool
	tokens  float64
	filled  time.Time
	dropped int
	total   *metrics.Counter
	running sync.WaitGroup
}

// Start begins to pass lines on.
func (w *Writer) Start() {
	if w.Rate == 0 {
		w.Rate = defaultRate
	}
	if w.Burst == 0 {
		w.Burst = defaultBurst
	}
	w.queue = make(chan []byte, queueLines)
	w.tokens, w.filled = w.Burst, w.Clock.Now()
	w.total = w.Metrics.NewCounter("log_lines_dropped_total")
	w.running.Add(1)
	go w.loop()
}

// Write takes one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.closed || !w.allowed() {
		w.drop()
		return len(line), nil
	}
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.drop()
	}
	return len(line), nil
}

// allowed takes one line out of the rate.
func (w *Writer) allowed() bool {
	now := w.Clock.Now()
	w.tokens = min(w.Burst, w.tokens+w.Rate*now.Sub(w.filled).Seconds())
	w.filled = now
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

func (w *Writer) drop() {
	w.dropped++
	w.total.Inc()
}

// loop writes the lines, several at once if they wait, and at the end what was
// dropped after the last of them.
func (w *Writer) loop() {
	defer w.running.Done()
	buffer := make([]byte, 0, chunkBytes)
	for line := range w.queue {
		buffer = append(buffer[:0], line...)
		buffer = w.gather(buffer)
		buffer = append(buffer, w.droppedLine()...)
		_, _ = w.Out.Write(buffer) // There is no other place to report to.
	}
	if line := w.droppedLine(); line != "" {
		_, _ = io.WriteString(w.Out, line) // As above.
	}
}

// gather appends the lines that wait, up to a chunk.
func (w *Writer) gather(buffer []byte) []byte {
	for len(buffer) < chunkBytes {
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

// droppedLine returns a line about what has been dropped since the last one.
func (w *Writer) droppedLine() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.dropped == 0 {
		return ""
	}
	n := w.dropped
	w.dropped = 0
	return fmt.Sprintf("{\"level\":\"warning\",\"lines\":%d,\"msg\":\"log lines dropped\"}\n", n)
}

// Close writes the lines that wait and ends.
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
