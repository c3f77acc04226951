// Package member keeps the list of VMs that run the system and says which VM
// owns a key.
//
// Each VM probes one other VM in every period and carries changes of the list
// on its probes, so that the traffic of a VM does not depend on the number of
// VMs. A VM that does not answer is suspected, and dead unless it refutes the
// suspicion with a higher incarnation. The list is seeded from the platform's
// list of addresses, which may name VMs that are gone and omit VMs that live.
//
// [Table] is the state machine; [Service] drives it over datagrams.
package member
