// Package news keeps what a node believes about the fleet's surroundings: the
// configuration in force and the directory of targets.
//
// A node reads both from the store. A node that the store turns away asks the
// other nodes. Neither ever goes backwards within a process.
package news
