// Package batch combines the pieces of many requests into batched calls to
// targets.
//
// A stage is preparatory work of a request of a route, split into pieces; a
// stage of a pipeline, in contrast, is one call. A piece is one work item of a
// stage. The owner of a service is the VM that batches all pieces of that
// service. A target processes the pieces of a call and stores the results in
// its memory, its result capacity, until they are released or expire; a handle
// identifies a result at its target.
//
// [Table] is the scheduler of one service, a state machine without I/O: it
// orders the waiting pieces, accounts for the result capacity of each target
// and selects the next call. [Service] runs a table for each service that its
// VM owns and submits the work of other services to their owners.
package batch
