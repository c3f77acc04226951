package wire

import (
	"errors"
	"io"
	"sync/atomic"

	"bergamotworks/fault"
)

const (
	firstBufferBytes = 4 << 10  // Initial size of a buffer, which is not budgeted.
	smallBufferBytes = 64 << 10 // Size up to which a buffer may use the whole budget.
	bufferBudget     = 32 << 20 // Default size limit of all buffers together.
)

// BufferBudget limits the memory of buffers together, so that peers that send bytes
// without end can't exhaust it. Buffers of more than 64 KiB get half of it, so that
// they leave room for others. The zero value is ready for use and safe for concurrent
// use.
type BufferBudget struct {
	Limit int64 // In bytes; zero means 32 MiB.

	used atomic.Int64
}

// Used returns the bytes in use.
func (b *BufferBudget) Used() int64 { return b.used.Load() }

// Take reports whether what is held of a response may grow by n bytes to a size, and
// takes them.
func (b *BufferBudget) Take(n, size int) bool {
	limit := b.Limit
	if limit == 0 {
		limit = bufferBudget
	}
	if size > smallBufferBytes {
		limit /= 2
	}
	if b.used.Add(int64(n)) > limit {
		b.used.Add(-int64(n))
		return false
	}
	return true
}

// Return returns bytes that were taken.
func (b *BufferBudget) Return(n int) { b.used.Add(-int64(n)) }

// Buffer holds bytes of a response. It grows up to a limit, with memory from the
// budget, which Release returns. The fields are set before its first use.
type Buffer struct {
	Data   []byte
	Budget *BufferBudget
	Limit  int // In bytes.

	taken int // From the budget.
}

// ReadOnce reads once from the source. The error is of kind [fault.TooLarge] if
// the buffer is full and may not grow.
func (b *Buffer) ReadOnce(source io.Reader) error {
	if len(b.Data) == cap(b.Data) {
		if err := b.grow(); err != nil {
			return err
		}
	}
	n, err := source.Read(b.Data[len(b.Data):cap(b.Data)])
	b.Data = b.Data[:len(b.Data)+n]
	return err
}

// ReadAll reads to the end of the source.
func (b *Buffer) ReadAll(source io.Reader) error {
	for {
		err := b.ReadOnce(source)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (b *Buffer) grow() error {
	if cap(b.Data) == 0 {
		b.Data = make([]byte, 0, firstBufferBytes)
		return nil
	}
	if cap(b.Data) >= b.Limit {
		return fault.New(fault.TooLarge, fault.MayHaveRun, "more than %d bytes", b.Limit)
	}
	size := 2 * cap(b.Data)
	if !b.Budget.Take(size-b.taken, size) {
		return fault.New(fault.TooLarge, fault.MayHaveRun, "no memory for more than %d bytes", len(b.Data))
	}
	b.taken = size
	b.Data = append(make([]byte, 0, size), b.Data...)
	return nil
}

// Release returns the memory to the budget. The data must not be used any more.
func (b *Buffer) Release() {
	b.Budget.Return(b.taken)
	b.taken, b.Data = 0, nil
}
