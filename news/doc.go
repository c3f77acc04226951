// Package news keeps a node's copy of the configuration and of the directory of
// targets up to date.
//
// A few nodes, the store readers, read both from the store; the other nodes
// fetch them from a store reader. A node that cannot read the store also
// fetches them from other nodes. Within a process, neither the configuration
// nor the directory is ever replaced by an older revision.
//
// The directory and the operator state, which is the configuration with the
// drained failure domains, are confirmed separately: each has an age, the time
// since the store is known to have held it, which is passed on with it. A node
// relies on a store reader only if both are recent, and reads the store itself
// otherwise.
package news
