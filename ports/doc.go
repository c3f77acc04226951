// Package ports holds the four interfaces through which a node meets its
// surroundings: the clock, the random source, the network and the platform's
// key-value store. A test replaces each of them by a fake.
package ports
