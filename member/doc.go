// Package member maintains the list of VMs that run the system and determines
// which VM owns a key. The owner of a key is the VM that alone coordinates what
// the key stands for, such as a pool of targets.
//
// It is a SWIM-style gossip protocol. In each probe interval every VM probes
// one other VM and piggybacks membership updates on its messages, so the
// traffic per VM does not depend on the number of VMs. A VM that does not
// respond becomes suspect, and is declared dead unless it refutes the suspicion
// with a higher incarnation. The list is seeded from the platform's list of
// addresses, which may name VMs that no longer exist and omit VMs that are
// running.
//
// [Table] is the state machine; [Service] runs it over UDP.
package member
