// Package order gives orders to model engines: load or unload an adapter, load
// a model, change the role.
//
// Each order to a target carries a fencing number that was taken from the store
// by compare-and-swap. Some engines refuse an old number, others ignore it; an
// order to one of the latter is sent at most once, and an unknown outcome is
// settled by reading the engine's state. Loads are paced across the fleet.
package order
