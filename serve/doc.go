// Package serve assembles a node that serves opaque routes, whose bodies are
// passed through without being interpreted. The node follows the configuration
// and the directory of targets, takes part in the membership, batches the
// pieces of the services that it owns and forwards requests to targets.
package serve
