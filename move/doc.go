// Package move decides when the memory of a run on a model target is copied to another
// target: in advance, as a backup for the case that the target is lost, or to continue the
// run there because its target is slow, leaves or has a version that is replaced.
//
// Copies use the links and the memory of targets, so that each decision compares what a
// copy costs with what the loss of the run costs its caller. [Policy] has no I/O and no
// clock; the time is passed as an argument.
package move
