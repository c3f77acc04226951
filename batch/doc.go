// Package batch gathers the pieces of many requests into full calls to the
// targets that work on pieces.
//
// [Table] is the state machine of one service: it orders the waiting pieces,
// keeps the account of the memory that results take at each target, and says
// which call to start. [Service] drives one table for each service that its VM
// owns and hands the work of other services to their owners.
package batch
