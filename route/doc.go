// Package route chooses the pool that runs a stage call.
//
// A [Chooser] knows the state of each pool only from the summaries that its owner
// publishes periodically. It draws two pools of the service at random, weighted by
// capacity, from the failure domains in service, and chooses the one where the
// call is expected to finish sooner. Calls with the same prompt prefix go to the
// same pool while the load of that is not much higher than the mean.
//
// The package is a state machine: it takes the time as an argument and starts no
// goroutines.
package route
