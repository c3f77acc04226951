// Package site describes what a fleet serves: the configuration, with its
// routes, services and client accounts, and the directory of the running
// targets.
//
// A stage of a route is preparatory work that is split into pieces, which
// targets process in batches.
//
// Values are immutable and safe for concurrent use.
package site
