// Package site describes what a fleet serves by opaque routes: the
// configuration with its routes, services and client accounts, and the
// directory of the targets that run at the moment.
//
// Values are immutable and safe for concurrent use.
package site
