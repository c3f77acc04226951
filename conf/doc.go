// Package conf accepts release notes and distributes the resulting
// configuration to every node.
//
// A note is accepted by one compare-and-swap on the head, a value in the store
// that names the sections of the configuration by content hash. A few nodes
// watch the head; the others learn of a new revision from their peers and fetch
// the changed sections from them. The revision active on a node never
// decreases.
package conf
