// Package route chooses the pool that runs a stage call, which is one attempt
// at a stage of a pipeline. It is not concerned with the opaque routes of
// package site.
//
// A [Chooser] estimates the state of each pool from the summaries that its
// owner publishes, the calls sent since, and recent rejections. It draws two
// pools of the service at random, weighted by capacity, from the failure
// domains in service, and chooses the one where the call is expected to finish
// sooner. Calls with the same prompt prefix go to the same pool while its load
// is not much higher than the mean.
//
// The package is a state machine: it takes the time as an argument and starts
// no goroutines.
package route
