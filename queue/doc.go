// Package queue orders calls that wait for a free slot on a target.
//
// Calls belong to classes. A class that has received less than its guaranteed
// share of the capacity of the targets is served first; otherwise the class with
// the highest priority is. Within a class, weighted fair queueing divides the
// capacity among the client accounts, and the calls of one account are ordered by
// earliest deadline. The queue is bounded: when it is full, a call of a class that
// occupies more than its share is evicted, starting with the class of the lowest
// priority and there with the account that has the largest backlog.
//
// The package is a state machine: it takes the time as an argument and starts no
// goroutines.
package queue
