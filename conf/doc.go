// Package conf accepts release notes and distributes the resulting
// configuration to every node.
//
// The store holds a configuration in parts. A note is accepted by one
// compare-and-swap on the head, a value in the store that names the parts by
// content hash. A few nodes, the watchers, watch the head. When a revision
// becomes active on a node, the node announces it to some peers, which fetch
// the changed parts from it. The revision active on a node never decreases.
package conf
