// Package check examines a configuration before operators write it: what is wrong in it,
// which of its entries can never be used, which of its limits contradict each other, and
// what differs from the active configuration.
package check
