// Package launch keeps the rollouts that operators order through the system's own
// interface: it stores the orders and their states beside the configuration, passes them to
// all nodes, and checks whether a change of the configuration contradicts one. Package
// canary decides about the versions.
package launch
