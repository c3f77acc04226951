// Package gate counts tasks in flight for a graceful shutdown: once a gate is
// closed, no new task starts, and Close waits for those in flight.
package gate

import "sync"

// Gate is like [sync.WaitGroup], but can be closed while tasks may still
// arrive. The zero value is open. A Gate must not be copied.
type Gate struct {
	mutex  sync.Mutex
	empty  sync.Cond
	count  int
	closed bool
}

// TryAdd adds a task and reports true, or reports false if the gate is closed.
// [Gate.Done] ends the task.
func (g *Gate) TryAdd() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.closed {
		return false
	}
	g.count++
	return true
}

// Add adds a task. It must be called by a task in flight and is allowed after
// the gate has been closed.
func (g *Gate) Add() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.count++
}

// Done ends a task that [Gate.TryAdd] or [Gate.Add] has added.
func (g *Gate) Done() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.count--
	if g.count == 0 && g.empty.L != nil {
		g.empty.Broadcast()
	}
}

// Count returns the number of tasks in flight.
func (g *Gate) Count() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.count
}

// Close closes the gate and waits until no task is in flight.
func (g *Gate) Close() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.closed = true
	if g.empty.L == nil {
		g.empty.L = &g.mutex
	}
	for g.count > 0 {
		g.empty.Wait()
	}
}
