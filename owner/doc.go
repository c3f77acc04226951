// Package owner runs the stage calls of the pools that this node owns.
//
// A stage call is one attempt at a stage of a pipeline; the stages of opaque
// routes, which are split into pieces, are not run here. Each pool of targets is
// owned by one node, which alone admits calls to its targets. Package pool
// decides which call runs where and when, as a state machine without I/O. This
// package drives it: it passes calls, load reports, configurations and membership
// changes to the pool, sends the dispatched calls to the targets, and hands the
// pool's state over to the next owner when ownership moves.
package owner
