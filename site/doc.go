// Package site describes what a fleet serves: the configuration, with its
// routes, services and client accounts, and the directory of the running
// targets.
//
// Values are immutable and safe for concurrent use.
package site
