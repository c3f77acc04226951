package relay

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotworks/wire"
)

const (
	backlogSegmentBytes = 4 << 10
	maxBacklogBytes     = 256 << 10 // Of one client.
	// unreadTimeout is how long the response of a target is left unread until the
	// client has read resumeBytes of its full backlog. Targets cut responses off that
	// are left unread for some seconds.
	unreadTimeout = 2 * time.Second
	// resumeBytes is how much of a response is read at once after that. Less at once
	// may not open the receive window of the target's connection, which opens by a whole
	// segment.
	resumeBytes = 96 << 10
	// minSlowForRequest is how long a client has been slow before its response is
	// given up for want of memory for new requests, which have not run yet.
	minSlowForRequest = 5 * time.Second
)

var (
	errSlowClient   = errors.New("the client reads too slowly; its memory is needed for others")
	errStuckClient  = errors.New("the client reads too slowly; the target would cut off the response")
	errBacklogEnded = errors.New("the response has ended")
)

// backlogs are those of all slow clients of a server.
type backlogs struct {
	mutex    sync.Mutex // It is locked before that of a backlog.
	open     map[*backlog]struct{}
	bytes    atomic.Int64 // In the segments of all of them.
	segments sync.Pool    // Of *[backlogSegmentBytes]byte.

	forRequests, forResponses ranking // To find memory for either.
}

// backlog is what a slow client has not read yet of a response: of a stream, the events
// that wait in segments, from which its goroutine sends them; of a body that is sent as a
// whole, the body itself.
type backlog struct {
	output   *output
	body     *wire.Body // Nil for a stream.
	deadline time.Time
	began    time.Time
	room     chan struct{} // Receives a value when the client has read a segment.
	done     chan struct{} // Closed when the client has read everything or was given up.

	mutex    sync.Mutex // Guards the rest.
	segments [][]byte
	size     int  // Bytes that the client has not read.
	taken    int  // Bytes from the budget, without those of a body.
	sent     int  // Bytes that the client has read since it is slow.
	started  bool // The goroutine was started.
	ended    bool
	err      error
}

// newBacklog returns the backlog of a client that has become slow.
func newBacklog(o *output) *backlog {
	s := o.client.server
	b := &backlog{output: o, body: o.body, deadline: o.deadline, began: s.Clock.Now(), room: make(chan struct{}, 1), done: make(chan struct{})}
	if o.body != nil {
		b.size = o.body.Len()
	}
	s.counters.slowClients.Inc()
	s.backlogs.mutex.Lock()
	defer s.backlogs.mutex.Unlock()
	if s.backlogs.open == nil {
		s.backlogs.open = make(map[*backlog]struct{})
	}
	s.backlogs.open[b] = struct{}{}
	return b
}

// all returns the backlogs of the server.
func (b *backlog) all() *backlogs { return &b.output.client.server.backlogs }

// add adds bytes that are to be sent after the others and returns their number. It waits
// for room, and gives the client up if there is too little for unreadTimeout. The error is
// errBacklogEnded if the client has read everything, so that it is not slow any more.
func (b *backlog) add(p []byte) (int, error) {
	s, added := b.output.client.server, 0
	for added < len(p) {
		n, err := b.put(p[added:])
		added += n
		if err != nil {
			return added, err
		}
		if n == 0 && !b.awaitRoom() {
			s.abandon(b, errStuckClient)
		}
	}
	return added, nil
}

// awaitRoom waits until the client has read resumeBytes, or all of a smaller backlog, or
// was given up. It reports false if that takes longer than unreadTimeout.
func (b *backlog) awaitRoom() bool {
	full := b.memory()
	timeout := b.output.client.server.Clock.After(unreadTimeout)
	for {
		select {
		case <-b.room:
			if b.memory() <= full-resumeBytes {
				return true
			}
		case <-b.done:
			return true
		case <-timeout:
			return false
		}
	}
}

// memory returns the bytes in segments.
func (b *backlog) memory() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.taken
}

// put puts as many bytes into one segment as fit. It returns zero if there is no room.
func (b *backlog) put(p []byte) (int, error) {
	n, err := b.fill(p)
	if n > 0 || err != nil {
		return n, err
	}
	budget := &b.output.client.server.Client.Buffers
	size := b.memory() + backlogSegmentBytes
	if size > maxBacklogBytes || !budget.Take(backlogSegmentBytes, size) { // Take may call abandonSlowest, which locks.
		return 0, nil
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if err := b.state(); err != nil {
		budget.Return(backlogSegmentBytes)
		return 0, err
	}
	segment, ok := b.all().segments.Get().(*[backlogSegmentBytes]byte)
	if !ok {
		segment = new([backlogSegmentBytes]byte)
	}
	n = copy(segment[:], p)
	b.segments = append(b.segments, segment[:n])
	b.taken += backlogSegmentBytes
	b.size += n
	b.all().bytes.Add(backlogSegmentBytes)
	if !b.started {
		b.started = true
		b.output.client.server.running.Add(1)
		_ = b.output.client.conn.SetWriteDeadline(b.deadline) // A failure also fails the write.
		go b.loop()
	}
	return n, nil
}

// fill puts as many bytes into the last segment as fit. The first one may be in the
// process of being sent.
func (b *backlog) fill(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if err := b.state(); err != nil {
		return 0, err
	}
	last := len(b.segments) - 1
	if last < 1 {
		return 0, nil
	}
	s := b.segments[last]
	n := copy(s[len(s):cap(s)], p)
	b.segments[last] = s[:len(s)+n]
	b.size += n
	return n, nil
}

// state returns the error of a backlog that takes no more bytes. The caller holds the
// mutex.
func (b *backlog) state() error {
	if b.err == nil && b.ended {
		return errBacklogEnded
	}
	return b.err
}

// wait waits until the client has read everything or was given up, and returns the error
// of the latter.
func (b *backlog) wait() error {
	b.mutex.Lock()
	started := b.started
	b.mutex.Unlock()
	if started {
		<-b.done
	}
	return b.end()
}

// loop sends the segments until the client has read all of them or was given up.
func (b *backlog) loop() {
	c := b.output.client
	defer c.server.running.Done()
	defer close(b.done)
	defer b.remove()
	for {
		s := b.first()
		if s == nil {
			return
		}
		_, err := c.conn.Write(s)
		b.sentFirst(s, err)
	}
}

// first returns the first segment. If there is none, it ends the backlog.
func (b *backlog) first() []byte {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.segments) == 0 {
		b.ended = true
		return nil
	}
	return b.segments[0]
}

// sentFirst removes the first segment after it was sent.
func (b *backlog) sentFirst(s []byte, err error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.err != nil { // The client was given up, with all segments.
		return
	}
	if err != nil {
		b.fail(err)
		return
	}
	b.all().segments.Put((*[backlogSegmentBytes]byte)(s[:backlogSegmentBytes]))
	b.segments = b.segments[1:]
	b.size -= len(s)
	b.sent += len(s)
	b.taken -= backlogSegmentBytes
	b.all().bytes.Add(-backlogSegmentBytes)
	b.output.client.server.Client.Buffers.Return(backlogSegmentBytes)
	select {
	case b.room <- struct{}{}:
	default:
	}
}

// progress counts bytes of the body that the client has read. It returns the error of a
// client that was given up.
func (b *backlog) progress(n int) error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.sent += n
	b.size -= n
	return b.err
}

// end ends the backlog, whose goroutine has ended. It returns the error of a client that
// was given up.
func (b *backlog) end() error {
	b.remove()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.ended = true
	if b.err != nil && b.body != nil {
		b.body.Disown()
	}
	return b.err
}

// remove removes the backlog from the open ones.
func (b *backlog) remove() {
	all := b.all()
	all.mutex.Lock()
	defer all.mutex.Unlock()
	delete(all.open, b)
}

// failure returns the error of the client, nil if it was not given up.
func (b *backlog) failure() error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.err
}

// fail gives the client up and returns the memory at once, although its segment or body
// may be in use until the write ends. It does not close the connection, which would wait
// for that; its goroutine does so once the request has ended. The caller holds the mutex.
func (b *backlog) fail(err error) {
	if b.err != nil || b.ended {
		return
	}
	b.err = err
	budget := &b.output.client.server.Client.Buffers
	budget.Return(b.taken)
	b.all().bytes.Add(-int64(b.taken))
	if b.body != nil {
		budget.Return(b.body.Taken())
	}
	b.segments, b.taken, b.ended = nil, 0, true
	_ = b.output.client.conn.SetWriteDeadline(time.Unix(1, 0)) // If this fails, the write ends at its deadline.
	b.output.client.cancel(err)
}

// held returns the bytes from the budget that the client holds. The caller holds the
// mutex.
func (b *backlog) held() int {
	if b.body != nil {
		return b.body.Taken()
	}
	return b.taken
}

// timeLeft returns how long the client needs for the rest at the rate at which it has
// read so far. It is longest for the oldest and slowest. The caller holds the mutex.
func (b *backlog) timeLeft(now time.Time) float64 {
	return float64(b.size) * now.Sub(b.began).Seconds() / float64(b.sent+1)
}

// reclaimable returns timeLeft of a client that has been slow for a time and holds memory. It
// reports false for others.
func (b *backlog) reclaimable(now time.Time, minSlow time.Duration) (float64, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.timeLeft(now), !b.ended && b.held() > 0 && now.Sub(b.began) >= minSlow
}

// abandonSlowest gives up the client that needs longest for the rest, among those that
// have been slow for a time and hold memory. It reports false if there is none.
func (s *Server) abandonSlowest(minSlow time.Duration) bool {
	if minSlow > 0 {
		return s.backlogs.forRequests.abandonNext(s, minSlow)
	}
	return s.backlogs.forResponses.abandonNext(s, minSlow)
}

// ReclaimBuffers gives up the response to the client that needs longest for the rest. It
// is meant for [wire.BufferBudget.Reclaim] of the responses and reports false if there is
// no slow client.
func (s *Server) ReclaimBuffers() bool { return s.abandonSlowest(0) }

// abandon gives a client up. It reports false if its response has ended.
func (s *Server) abandon(b *backlog, reason error) bool {
	b.mutex.Lock()
	if b.ended {
		b.mutex.Unlock()
		return false
	}
	fields := logrus.Fields{"reason": reason.Error(), "unread_bytes": b.size, "read_bytes": b.sent, "held_bytes": b.held(), "slow_ms": s.Clock.Now().Sub(b.began).Milliseconds()}
	b.fail(reason)
	b.mutex.Unlock()
	s.counters.abandoned.Inc()
	if s.shortageLimit.AllowN(s.Clock.Now(), 1) {
		fields["abandoned_total"] = s.counters.abandoned.Get()
		s.Log.WithFields(fields).Warn("giving up the response to a slow client")
	}
	return true
}

// slowClients returns the number of slow clients and the bytes of events that wait for
// them.
func (s *Server) slowClients() (clients, bytes int) {
	s.backlogs.mutex.Lock()
	defer s.backlogs.mutex.Unlock()
	return len(s.backlogs.open), int(s.backlogs.bytes.Load())
}
