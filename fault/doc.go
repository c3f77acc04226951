// Package fault defines the errors that the system's parts exchange.
//
// Every error carries a [Verdict], which says whether the request that met it
// may have run on a target, and a [Kind], which says why it was refused.
package fault
