// Package store gives access to the platform's key-value service.
//
// [Memory] is a stand-in within the process, [Faults] wraps any store and makes
// its calls fail as scripted. Both may be shared by many nodes of one process.
package store
