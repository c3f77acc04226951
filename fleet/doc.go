// Package fleet runs whole nodes, as they are assembled for the platform, many in one
// process and in virtual time, and judges what clients receive and targets run.
//
// The nodes, the stand-ins for the store, the targets and the clients use a network in
// memory ([Network]). A day ([Day]) is generated from a seed or read from a file; its
// events overlap, and those that break a rule are reduced to the fewest ([Shrink]). The
// judge ([Judge]) knows only what the stand-ins have seen. Everything must run in one
// bubble of testing/synctest. The order of goroutines at one moment is not determined
// by the seed, so that a day may differ between two runs in details.
package fleet
