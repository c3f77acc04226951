package relay

import (
	"errors"
	"io"
	"sync/atomic"

	"bergamotworks/fault"
)

const (
	firstBufferBytes = 4 << 10  // Initial size of a buffer, which is not budgeted.
	maxBufferedBytes = 8 << 20  // Size limit of a response that is forwarded as a whole.
	maxEventBytes    = 1 << 20  // Size limit of an event.
	bufferBudget     = 32 << 20 // Size limit of all buffers of a server together.
)

// byteBudget limits the memory of the buffers of all requests together, so that
// targets that send bytes without end cannot exhaust it.
type byteBudget struct {
	limit int64 // Zero means bufferBudget.
	used  atomic.Int64
}

// take reports whether n more bytes are left, and takes them.
func (b *byteBudget) take(n int) bool {
	limit := b.limit
	if limit == 0 {
		limit = bufferBudget
	}
	if b.used.Add(int64(n)) > limit {
		b.used.Add(-int64(n))
		return false
	}
	return true
}

// buffer holds bytes of a response. It grows up to a limit, with memory from the
// budget, which is returned by release.
type buffer struct {
	data   []byte
	budget *byteBudget
	limit  int // In bytes.
	taken  int // From the budget.
}

// readFrom reads once from the source. The error is of kind [fault.TooLarge] if
// the buffer is full and may not grow.
func (b *buffer) readFrom(source io.Reader) error {
	if len(b.data) == cap(b.data) {
		if err := b.grow(); err != nil {
			return err
		}
	}
	n, err := source.Read(b.data[len(b.data):cap(b.data)])
	b.data = b.data[:len(b.data)+n]
	return err
}

// readAll reads to the end of the source.
func (b *buffer) readAll(source io.Reader) error {
	for {
		err := b.readFrom(source)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (b *buffer) grow() error {
	if cap(b.data) == 0 {
		b.data = make([]byte, 0, firstBufferBytes)
		return nil
	}
	if cap(b.data) >= b.limit {
		return fault.New(fault.TooLarge, fault.MayHaveRun, "more than %d bytes", b.limit)
	}
	size := 2 * cap(b.data)
	if !b.budget.take(size - b.taken) {
		return fault.New(fault.TooLarge, fault.MayHaveRun, "no memory for more than %d bytes", len(b.data))
	}
	b.taken = size
	b.data = append(make([]byte, 0, size), b.data...)
	return nil
}

// release returns the memory to the budget.
func (b *buffer) release() {
	b.budget.used.Add(-int64(b.taken))
	b.taken = 0
}
