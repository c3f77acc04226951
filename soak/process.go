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

// process is a program that can be started repeatedly.
type process struct {
	binary string
	args   []string
	log    string // File for its output.

	mutex        sync.Mutex
	command      *exec.Cmd
	exited       chan struct{} // Closed when the current run has exited.
	err          error         // Exit error of that run.
	lastChange   time.Time     // When a fault of the process last started or ended.
	activeFaults int           // Faults that have ended or paused the process.
	faults       history
}

// start starts a run.
func (p *process) start() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return trace.Wrap(err)
	}
	c := exec.Command(p.binary, p.args...) //nolint:gosec // The binary under test.
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return trace.NewAggregate(err, out.Close())
	}
	p.command, p.exited = c, make(chan struct{})
	go p.run(c, out, p.exited)
	return nil
}

// run waits until the run has exited.
func (p *process) run(c *exec.Cmd, out *os.File, exited chan struct{}) {
	err := trace.NewAggregate(c.Wait(), out.Close())
	p.mutex.Lock()
	p.err = err
	p.mutex.Unlock()
	close(exited)
}

// signal sends a signal to the current run, unless it has exited.
func (p *process) signal(s syscall.Signal) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	err := p.command.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return trace.Wrap(err)
}

// wait waits until the current run has exited and returns its error.
func (p *process) wait() error {
	p.mutex.Lock()
	exited := p.exited
	p.mutex.Unlock()
	<-exited
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.err
}

// addFaults adds to the number of active faults of the process.
func (p *process) addFaults(by int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.activeFaults += by
	p.lastChange = time.Now()
	p.faults.add(p.lastChange, p.activeFaults > 0)
}

// calmUntil returns the end of the time after from in which no fault of the process was
// active, at most limit.
func (p *process) calmUntil(from, limit time.Time) time.Time {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.faults.calmUntil(from, limit)
}

// undisturbed reports whether no fault of the process was active since a time.
func (p *process) undisturbed(since time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.activeFaults == 0 && p.lastChange.Before(since)
}
