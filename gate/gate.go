// Package gate counts work in progress and ends it in order: after the gate is
// closed no new work begins, and Close waits for what is under way.
package gate

import "sync"

// Gate is the entrance to a part that is closed while work may still arrive.
// The zero value is open.
type Gate struct {
	mutex  sync.Mutex
	empty  sync.Cond
	count  int
	closed bool
}

// TryAdd begins work and reports true, or reports false if the gate is closed.
// Work that has begun ends with [Gate.Leave].
func (g *Gate) TryAdd() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.closed {
		return false
	}
	g.count++
	return true
}

// Add begins more work on behalf of work that is under way. It is allowed
// after the gate has been closed.
func (g *Gate) Add() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.count++
}

// Done ends work.
func (g *Gate) Done() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.count--
	if g.count == 0 && g.empty.L != nil {
		g.empty.Broadcast()
	}
}

// Count returns the amount of work under way.
func (g *Gate) Count() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.count
}

// Close closes the gate and waits until no work is under way.
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
