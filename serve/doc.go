// Package serve assembles a node that serves opaque routes: it follows the
// configuration and the directory of targets, takes part in the membership,
// gathers the pieces of the services that it owns and passes requests on.
package serve
