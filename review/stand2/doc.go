// Stand2 runs the cases of the second review that are scripts. It starts nodes as
// separate processes, plays their clients, targets and the platform's store, and checks
// one rule by what these see.
package main
