package member

import "time"

// State is the state of a VM as seen by another VM. At equal incarnations the
// higher state takes precedence.
type State int

// The states of a VM.
const (
	// Alive means that the VM responds to probes.
	Alive State = iota
	// Suspect means that the VM did not respond to a probe and may still refute
	// the suspicion.
	Suspect
	// Dead means that the VM did not refute the suspicion within the timeout.
	Dead
	// Leaving means that the VM announced a planned shutdown and accepts no new
	// work.
	Leaving
	// Left means that the planned shutdown is complete.
	Left
)

// Live reports whether a VM in this state may own keys.
func (s State) Live() bool { return s == Alive || s == Suspect }

// Gone reports whether a VM in this state is no longer probed.
func (s State) Gone() bool { return s == Dead || s == Left }

// VM is a virtual machine that runs one process of the system, a node. All VMs
// together are the fleet.
type VM struct {
	ID            string `json:"id"`
	Address       string `json:"address"` // TCP address for peer requests.
	GossipAddress string `json:"gossip"`  // UDP address of the membership protocol.
	Domain        string `json:"domain"`
	Region        string `json:"region"`
	// Millicores is the CPU capacity in thousandths of a core; zero means
	// unknown.
	Millicores int `json:"millicores,omitempty"`
	// Incarnation identifies a run of the process. It is higher after a restart,
	// and increases when the VM refutes a report that it is suspect or dead.
	Incarnation uint64 `json:"incarnation"`
	State       State  `json:"state"`
	// Since is the time of the last change of State or Incarnation, by the clock
	// of the VM that holds this entry.
	Since time.Time `json:"since"`
	// LastHeard is the time of the last message received from the VM itself, by
	// the clock of the VM that holds this entry; zero if there was none.
	LastHeard  time.Time  `json:"heard"`
	Attributes Attributes `json:"attributes"`
}

// MaxLoads is the maximum number of pool loads in one message.
const MaxLoads = 8

// Attributes is the metadata that a VM includes in each of its messages. A
// change of Ready is also gossiped through other VMs; the other fields are
// known only from the last message of the VM itself.
type Attributes struct {
	Revision       int64      `json:"revision"` // Active configuration revision.
	Ready          bool       `json:"ready"`    // A VM that is not ready owns no keys.
	StoreReachable bool       `json:"store_reachable"`
	Loads          []PoolLoad `json:"loads,omitempty"` // At most MaxLoads. Not set by any node at present.
}

// PoolLoad is the number of free slots, for concurrent calls, of a pool that the
// VM owns. No node sends one at present.
type PoolLoad struct {
	_     struct{} `cbor:",toarray"`
	Pool  uint64   `json:"pool"`  // Hash of the pool's name.
	Spare int32    `json:"spare"` // Number of free slots.
}

// Announcement is a small item of data that is gossiped to every VM until it
// expires. Of two announcements with the same kind and key, the one with the
// higher value takes precedence.
type Announcement struct {
	Kind  string
	Key   uint64
	Value int64
	Until time.Time // When the announcement expires.
}
