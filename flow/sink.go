package flow

import (
	"sync"

	"bergamotworks/owner"
)

// attemptSink takes the chunks of one attempt. Chunks that come after the
// attempt's end, or out of order, are dropped.
type attemptSink struct {
	stage  *stageRun
	mutex  sync.Mutex
	closed bool
}

func (a *attemptSink) receive(c owner.Chunk) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	g := a.stage
	if a.closed || c.Position != g.tokens {
		return
	}
	g.tokens++
	g.text.WriteString(c.Text)
	if g.last() {
		g.run.emit(Chunk(c))
	}
}

// close waits for a chunk that is being received and drops all later ones.
func (a *attemptSink) close() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.closed = true
}
