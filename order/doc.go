// Package order sends orders to model engines: load or unload an adapter, load
// a model, change the role.
//
// Before a process sends an order to a target, it claims the order: it records
// itself as the issuer in the store by compare-and-swap. This assigns the order
// the next fencing token of the target, which is sent with it. An order is open
// from its claim until its outcome is known or it is certain that it will not
// be sent. Some engines reject stale tokens, others ignore them. An order to an
// engine that ignores them is sent at most once; if its outcome is unknown, the
// outcome is determined by reading the engine's state. Loads are rate limited
// across the fleet, since all engines share one weight store.
package order
