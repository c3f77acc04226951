// Package queue orders calls that wait for capacity.
//
// Calls belong to classes. A class that got less than its guaranteed share goes
// first, otherwise the class of the highest priority does. Within a class the
// client accounts get parts by their weights, and the calls of one account go
// by earliest deadline. The queue is bounded: when it is full, a call of lower
// priority or of an account beyond its part gives way. The package is a state
// machine: it takes the time as an argument and starts nothing.
package queue
