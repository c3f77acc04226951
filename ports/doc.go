// Package ports defines the interfaces through which a node accesses its
// environment: the clock, the random source, the network and the platform's
// key-value store. Tests replace each of them by a fake.
package ports
