// Package relay passes requests of opaque routes on to targets and their
// answers back.
//
// The node that holds the caller's connection does all of it: it finds the
// route and the client account, has the pieces of the route's stages made,
// chooses the target, sends the request there itself and passes the answer on
// as it arrives. A request that cannot be repeated is sent again only after the
// target has said that it did not run.
package relay
