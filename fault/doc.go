// Package fault defines the errors that the components of the system
// exchange.
//
// Every error has a [Verdict], which says whether the request may have run on
// a target, and a [Kind], which says why it failed.
package fault
