// Package owner runs the stage calls of the pools that this node owns.
//
// The decisions are those of package pool. This package feeds them with calls,
// load reports, configurations and changes of membership, sends the calls to
// the targets, and hands a pool's state to its next owner.
package owner
