// Package note holds the configuration and the release notes that change it.
//
// A [Config] is the whole state that is in force at one revision. A [Note]
// lists what is added, changed and withdrawn. Both are JSON in snake case, and
// both are immutable values once they are shared.
package note
