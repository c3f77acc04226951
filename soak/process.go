package soak

import (
	"errors"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// process is one program that is started again and again.
type process struct {
	binary string
	args   []string
	log    string // File for its output.

	mutex     sync.Mutex
	command   *exec.Cmd
	ended     chan struct{} // Closed when the present run has ended.
	err       error         // Of that run.
	disturbed time.Time     // Last time at which a fault began or ended.
	down      int           // Faults that hold the process down or still.
}

// start begins a run.
func (p *process) start() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return trace.Wrap(err)
	}
	c := exec.Command(p.binary, p.args...) //nolint:gosec // The soak's own program.
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return trace.NewAggregate(err, out.Close())
	}
	p.command, p.ended = c, make(chan struct{})
	go p.run(c, out, p.ended)
	return nil
}

// run waits for the end of one run.
func (p *process) run(c *exec.Cmd, out *os.File, ended chan struct{}) {
	err := trace.NewAggregate(c.Wait(), out.Close())
	p.mutex.Lock()
	p.err = err
	p.mutex.Unlock()
	close(ended)
}

// signal sends a signal to the present run, unless it has ended.
func (p *process) signal(s syscall.Signal) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	err := p.command.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return trace.Wrap(err)
}

// wait waits for the end of the present run and returns its error.
func (p *process) wait() error {
	p.mutex.Lock()
	ended := p.ended
	p.mutex.Unlock()
	<-ended
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.err
}

// disturb notes that a fault holds the process, or no longer does.
func (p *process) disturb(by int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.down += by
	p.disturbed = time.Now()
}

// calm reports whether no fault has held the process since a time.
func (p *process) calm(since time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.down == 0 && p.disturbed.Before(since)
}
