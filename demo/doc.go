// Package demo runs a whole deployment in one process, over real loopback
// sockets: nodes, and stand-ins for the store and for every target.
package demo
