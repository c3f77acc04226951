// Package trial runs load tests with fault injection. Clients with deadlines and
// retries send requests over loopback sockets to a system under test, while a
// script injects faults.
//
// [Run] starts stand-ins, simulated targets, for the targets of a deployment,
// starts the system through a [Starter] and sends requests to its nodes. It
// checks a list of properties and measures attainment, the share of requests
// with a correct response within the deadline. Both rely only on what the
// stand-ins counted and what the clients received, not on what the nodes report.
package trial
