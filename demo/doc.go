// Package demo runs a whole deployment in one process, over real loopback
// sockets: nodes, the store stand-in and stand-ins for every target.
package demo
