// Package pool admits calls to the targets of one service in one failure domain.
//
// A call is one attempt at a stage of a pipeline. A pool has at most 16 targets.
// One node owns it and alone holds the limits and the warm-up state of its
// targets, the calls in flight, the queue and the prefix index. When ownership
// moves, the previous owner hands this state over; if it crashed, the new owner
// assumes that all targets are cold and busy.
//
// [Pool] is a state machine: [Pool.Step] takes the time and an [Event] and
// returns [Action] values. It starts no goroutines and reads no clock.
package pool
