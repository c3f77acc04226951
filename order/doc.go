// Package order sends orders to model engines: load or unload an adapter, load
// a model, change the role.
//
// Each order to a target carries a fencing token that was taken from the store
// by compare-and-swap. Some engines reject stale tokens, others ignore them. An
// order to an engine that ignores them is sent at most once; if its outcome is
// unknown, the outcome is determined by reading the engine's state. Loads are
// rate limited across the fleet, since all engines share one weight store.
package order
