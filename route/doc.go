// Package route chooses the pool that runs a stage call.
//
// A [Chooser] knows each pool only by a summary that its owner spreads from time
// to time. Among the pools of a service in failure domains that are in service
// it compares two, drawn by their capacity, and takes the one where the call
// would end sooner. Calls with the same prompt prefix keep to the same pool
// until that is much fuller than the others. The package is a state machine: it
// takes the time as an argument and starts nothing.
package route
