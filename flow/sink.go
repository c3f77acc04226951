package flow

import (
	"sync"

	"bergamotworks/owner"
)

// attemptSink receives the chunks of one attempt. It drops chunks that arrive
// out of order or after the end of the attempt.
type attemptSink struct {
	stage   *stageRun
	version *versionChoice
	mutex   sync.Mutex
	closed  bool
}

func (a *attemptSink) receive(c owner.Chunk) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	g := a.stage
	if !a.closed {
		a.version.reached()
	}
	if a.closed || c.Position != g.tokens {
		return
	}
	g.tokens++
	g.text.WriteString(c.Text)
	if g.isLast() {
		g.run.emit(Chunk(c))
	}
}

// close waits until the chunk that is being received is processed. All later
// chunks are dropped.
func (a *attemptSink) close() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.closed = true
}
