// Package conf accepts release notes and brings the configuration into force on
// every node.
//
// A note is accepted by one compare-and-swap on the head, a value of the store
// that names the sections by content hash. A few nodes watch the head; the
// others learn of a new revision from their peers and fetch the sections that
// changed from them. The revision in force on a node only goes up.
package conf
