// Package pool admits calls to the targets of one service in one failure domain.
//
// A pool has at most 16 targets and one owner among the nodes, which alone
// keeps their limits, queue, warm-up, calls in flight and prefix index. [Pool]
// is a state machine: [Pool.Step] takes the time and an [Event] and returns
// [Action] values. It starts nothing and reads no clock.
package pool
