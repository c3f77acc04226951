package wire

import (
	"cmp"
	"errors"
	"io"
	"sync"
	"sync/atomic"

	"bergamotworks/fault"
)

const (
	firstSegmentBytes = 4 << 10  // Size of the first segment of a body, which is not budgeted.
	segmentBytes      = 16 << 10 // Size of the other segments.
	smallBodyBytes    = 64 << 10 // Size up to which a body may use the whole budget.
	defaultBudget     = 32 << 20 // Default size limit of all bodies together.
)

// BufferBudget limits the memory of the bodies of responses together, so that peers
// that send bytes without end can't exhaust it. Bodies of more than 64 KiB get half of
// it, so that they leave room for others. Memory that is kept for reuse is within the
// limit, too. The zero value is ready for use and safe for concurrent use.
type BufferBudget struct {
	Limit int64 // In bytes; zero means 32 MiB.
	// Parent is the budget of which this one is a part, so that what is taken counts
	// towards both; may be nil. It is set before the first use.
	Parent *BufferBudget
	// Reclaim frees memory of the budget when there is none left for a body of up to
	// 64 KiB, and reports whether it did; may be nil. It is set before the first use.
	Reclaim func() bool

	used atomic.Int64
	// The fields below are used only in a budget without a parent.
	closed   atomic.Bool
	free     bufferList
	decoding sync.Mutex   // Held while a body of more than 64 KiB is decoded; guards joined.
	joined   []byte       // The memory for the copy of such a body, kept for reuse.
	idle     atomic.Int64 // Capacity of joined, zero while it is in use.
}

// Used returns the bytes in use, none of a nil budget.
func (b *BufferBudget) Used() int64 {
	if b == nil {
		return 0
	}
	return b.used.Load()
}

// Take reports whether what is held of a response may grow by n bytes to a size, and
// takes them. A nil budget has no limit.
func (b *BufferBudget) Take(n, size int) bool {
	if !b.reserve(n, size) {
		return false
	}
	b.trim()
	return true
}

// reserve is Take without the trim.
func (b *BufferBudget) reserve(n, size int) bool {
	for !b.take(n, size) {
		if size > smallBodyBytes || b.Reclaim == nil || !b.Reclaim() {
			return false
		}
	}
	return true
}

func (b *BufferBudget) take(n, size int) bool {
	if b == nil {
		return true
	}
	limit := b.limit()
	if size > smallBodyBytes {
		limit /= 2
	}
	if b.used.Add(int64(n)) > limit || !b.Parent.reserve(n, 0) { // The parent has room for any size.
		b.used.Add(-int64(n))
		return false
	}
	return true
}

func (b *BufferBudget) limit() int64 { return cmp.Or(b.Limit, defaultBudget) }

// root returns the budget of which this one is a part, directly or not. That of a nil
// budget is nil.
func (b *BufferBudget) root() *BufferBudget {
	for b != nil && b.Parent != nil {
		b = b.Parent
	}
	return b
}

// TakeBuffer takes memory of the given capacity for a body that grows to the given size. It
// returns an empty slice, to be returned with [BufferBudget.ReturnBuffer], or nil if there
// is no room. Memory is reused for the same capacity only, so that callers use few
// capacities, which are powers of two. A nil budget has no limit.
func (b *BufferBudget) TakeBuffer(capacity, size int) []byte {
	if !b.reserve(capacity, size) {
		return nil
	}
	if root := b.root(); root != nil {
		if p := root.free.pop(capacity); p != nil {
			return p
		}
	}
	b.trim()
	return make([]byte, 0, capacity)
}

// ReturnBuffer returns a slice of [BufferBudget.TakeBuffer] or one with its memory. It
// must not be used any more.
func (b *BufferBudget) ReturnBuffer(p []byte) {
	b.Return(cap(p))
	b.keep(p)
}

// Close drops the memory that is kept for reuse, and that which is returned later. The
// budget, or that of which it is a part, remains usable otherwise.
func (b *BufferBudget) Close() {
	root := b.root()
	root.closed.Store(true)
	b.trim()
}

// keep keeps memory for reuse, if the limit has room for it.
func (b *BufferBudget) keep(p []byte) {
	if root := b.root(); root != nil {
		root.free.push(p)
		b.trim()
	}
}

// takeCopy takes n bytes for the copy of a body. A large copy may use the half that is kept
// from large bodies. It reports false if there is no room.
func (b *BufferBudget) takeCopy(n int) bool {
	if n <= smallBodyBytes {
		return b.Take(n, n)
	}
	if !b.take(n, 0) {
		return false
	}
	b.trim()
	return true
}

// trim drops memory that is kept for reuse until it is within the limit together with the
// bytes in use.
func (b *BufferBudget) trim() {
	root := b.root()
	if root == nil {
		return
	}
	for root.excess() && root.free.drop() {
	}
	if root.excess() && root.decoding.TryLock() { // Otherwise the copy is in use.
		root.joined = nil
		root.idle.Store(0)
		root.decoding.Unlock()
	}
}

// excess reports whether memory that is kept for reuse must be dropped.
func (b *BufferBudget) excess() bool {
	kept := b.free.bytes.Load() + b.idle.Load()
	return kept > 0 && (b.closed.Load() || b.used.Load()+kept > b.limit())
}

// takeJoined takes the memory for the copy of a body of some size. It reports false if
// there is no room. The caller holds the mutex of the root until keepJoined has returned.
func (b *BufferBudget) takeJoined(size int) (data []byte, ok bool) {
	root := b.root()
	data, root.joined = root.joined, nil
	root.idle.Store(0)
	if cap(data) >= size && b.takeCopy(cap(data)) {
		return data[:0], true
	}
	if !b.takeCopy(size) {
		return nil, false
	}
	return make([]byte, 0, size), true
}

// keepJoined returns what takeJoined has taken and keeps the memory for reuse.
func (b *BufferBudget) keepJoined(data []byte) {
	root := b.root()
	b.Return(cap(data))
	root.joined = data
	root.idle.Store(int64(cap(data)))
	if root.excess() {
		root.joined = nil
		root.idle.Store(0)
	}
}

// Return returns bytes that were taken.
func (b *BufferBudget) Return(n int) {
	if b != nil {
		b.used.Add(-int64(n))
		b.Parent.Return(n)
	}
}

// bufferList holds returned memory for reuse. Peers that send bytes without end would
// otherwise make the process allocate memory faster than it is collected. A [sync.Pool]
// keeps memory for two collections and drops all of it then, whatever the budget has
// room for.
type bufferList struct {
	bytes      atomic.Int64 // Of all buffers.
	mutex      sync.Mutex
	byCapacity map[int][][]byte
}

func (l *bufferList) push(p []byte) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.byCapacity == nil {
		l.byCapacity = make(map[int][][]byte)
	}
	l.byCapacity[cap(p)] = append(l.byCapacity[cap(p)], p[:0])
	l.bytes.Add(int64(cap(p)))
}

// pop removes and returns an empty buffer of a capacity, nil if there is none.
func (l *bufferList) pop(capacity int) []byte {
	if l.bytes.Load() == 0 {
		return nil
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.remove(capacity)
}

// drop removes one of the largest buffers. It reports false if there is none.
func (l *bufferList) drop() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	largest := 0
	for capacity, buffers := range l.byCapacity {
		if len(buffers) > 0 {
			largest = max(largest, capacity)
		}
	}
	return l.remove(largest) != nil
}

// remove is pop for callers that hold the mutex.
func (l *bufferList) remove(capacity int) []byte {
	buffers := l.byCapacity[capacity]
	last := len(buffers) - 1
	if last < 0 {
		return nil
	}
	p := buffers[last]
	buffers[last] = nil
	l.byCapacity[capacity] = buffers[:last]
	l.bytes.Add(-int64(capacity))
	return p
}

// Body holds the body of a response, up to a limit, with memory from a budget, which
// Release returns. The exported fields are set before ReadAll.
type Body struct {
	Budget *BufferBudget // May be nil if the bytes are counted elsewhere.
	Limit  int           // In bytes.

	segments [][]byte
	size     int // Bytes held.
	taken    int // Bytes from the budget.
}

// Len returns the number of bytes held.
func (b *Body) Len() int { return b.size }

// Decode calls a function with the bytes held, which are valid during the call only. It
// may change them. If they are in several segments, they are copied into one slice with
// memory from the budget and the body is released; bodies of more than 64 KiB that share
// a budget are then decoded one at a time, so that there is room for the copy of one.
// The error is of kind [fault.TooLarge] if there is none, or that of the function.
func (b *Body) Decode(decode func(data []byte) error) error {
	switch len(b.segments) {
	case 0:
		return decode(nil)
	case 1:
		return decode(b.segments[0])
	}
	root := b.Budget.root()
	if root == nil || b.size <= smallBodyBytes {
		return b.decodeSmall(decode)
	}
	root.decoding.Lock()
	defer root.decoding.Unlock()
	data, ok := b.Budget.takeJoined(b.size)
	if !ok {
		return b.noMemoryError()
	}
	defer b.Budget.keepJoined(data)
	return decode(b.join(data))
}

// decodeSmall decodes a body from a copy with memory of its own.
func (b *Body) decodeSmall(decode func(data []byte) error) error {
	size := b.size
	if !b.Budget.takeCopy(size) {
		return b.noMemoryError()
	}
	defer b.Budget.Return(size)
	return decode(b.join(make([]byte, 0, size)))
}

func (b *Body) noMemoryError() error {
	return fault.New(fault.TooLarge, fault.MayHaveRun, "no memory to decode %d bytes", b.size)
}

// join appends the bytes held to data and releases the body, each segment once it is
// copied.
func (b *Body) join(data []byte) []byte {
	for i, s := range b.segments {
		data = append(data, s...)
		b.returnSegment(s)
		b.segments[i] = nil
	}
	b.Release()
	return data
}

// WriteTo implements [io.WriterTo].
func (b *Body) WriteTo(w io.Writer) (int64, error) {
	written := int64(0)
	for _, s := range b.segments {
		n, err := w.Write(s)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// ReadAll reads to the end of the source. The error is of kind [fault.TooLarge] if
// the limit is reached or the budget is spent.
func (b *Body) ReadAll(source io.Reader) error {
	for {
		space, err := b.space()
		if err != nil {
			return err
		}
		n, err := source.Read(space)
		b.extend(n)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// Write implements [io.Writer]. Its error is of kind [fault.TooLarge].
func (b *Body) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		space, err := b.space()
		if err != nil {
			return written, err
		}
		n := copy(space, p[written:])
		b.extend(n)
		written += n
	}
	return written, nil
}

// extend counts n bytes that were put into the free part of the last segment.
func (b *Body) extend(n int) {
	last := len(b.segments) - 1
	b.segments[last] = b.segments[last][:len(b.segments[last])+n]
	b.size += n
}

// space returns the free part of the last segment, of a new one if that is full.
func (b *Body) space() ([]byte, error) {
	if b.size >= b.Limit {
		return nil, fault.New(fault.TooLarge, fault.MayHaveRun, "more than %d bytes", b.Limit)
	}
	if last := len(b.segments) - 1; last < 0 || len(b.segments[last]) == cap(b.segments[last]) {
		if err := b.grow(); err != nil {
			return nil, err
		}
	}
	s := b.segments[len(b.segments)-1]
	return s[len(s):min(cap(s), len(s)+b.Limit-b.size)], nil
}

func (b *Body) grow() error {
	if len(b.segments) == 0 {
		b.segments = append(b.segments, make([]byte, 0, firstSegmentBytes))
		return nil
	}
	segment := b.Budget.TakeBuffer(segmentBytes, b.taken+segmentBytes)
	if segment == nil {
		return fault.New(fault.TooLarge, fault.MayHaveRun, "no memory for more than %d bytes", b.size)
	}
	b.taken += segmentBytes
	b.segments = append(b.segments, segment)
	return nil
}

// Taken returns the bytes from the budget.
func (b *Body) Taken() int { return b.taken }

// Disown makes Release return nothing to the budget, since the caller has done it.
func (b *Body) Disown() { b.taken = 0 }

// Release returns the memory to the budget.
func (b *Body) Release() {
	for _, s := range b.segments {
		b.returnSegment(s)
	}
	b.segments, b.size = nil, 0
}

// returnSegment returns a segment, if it was taken from the budget, for reuse.
func (b *Body) returnSegment(s []byte) {
	if cap(s) != segmentBytes {
		return
	}
	if b.taken > 0 { // Otherwise the caller of Disown has returned the memory.
		b.taken -= segmentBytes
		b.Budget.Return(segmentBytes)
	}
	b.Budget.keep(s)
}
