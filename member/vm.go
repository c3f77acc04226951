package member

import "time"

// State is the state of a VM as others see it. At the same incarnation the
// state with the higher number wins.
type State int

// The states of a VM.
const (
	// Alive means that the VM answers.
	Alive State = iota
	// Suspect means that the VM did not answer a probe and may still refute.
	Suspect
	// Dead means that the VM did not refute the suspicion in time.
	Dead
	// Leaving means that the VM announced a planned stop and takes no new work.
	Leaving
	// Left means that the planned stop is complete.
	Left
)

// Live reports whether a VM in this state may own keys.
func (s State) Live() bool { return s == Alive || s == Suspect }

// Gone reports whether a VM in this state is no longer probed.
func (s State) Gone() bool { return s == Dead || s == Left }

// VM is a machine on which one process of the system runs.
type VM struct {
	ID            string `json:"id"`
	Address       string `json:"address"` // TCP address for calls from peers.
	GossipAddress string `json:"gossip"`  // UDP address for membership.
	Domain        string `json:"domain"`
	Region        string `json:"region"`
	// Millicores is the processing power in thousandths of a core; zero means
	// that it is not known.
	Millicores  int        `json:"millicores,omitempty"`
	Incarnation uint64     `json:"incarnation"`
	State       State      `json:"state"`
	Since       time.Time  `json:"since"` // Local time of the last change of state or incarnation.
	LastHeard   time.Time  `json:"heard"` // Local time of the last message from the VM itself.
	Attributes  Attributes `json:"attributes"`
}

// MaxLoads is the number of pool loads that a heartbeat carries at most.
const MaxLoads = 8

// Attributes is what a VM tells about itself on each of its messages. Ready
// also travels through third VMs; the other fields are known of a VM only as
// of its last message.
type Attributes struct {
	Revision       int64      `json:"revision"` // Configuration revision in force.
	Ready          bool       `json:"ready"`    // A VM that is not ready owns no keys.
	StoreReachable bool       `json:"store_reachable"`
	Loads          []PoolLoad `json:"loads,omitempty"` // At most MaxLoads.
}

// PoolLoad is the free capacity of a pool that the VM owns.
type PoolLoad struct {
	_     struct{} `cbor:",toarray"`
	Pool  uint64   `json:"pool"` // Hash of the pool's name.
	Spare int32    `json:"spare"`
}

// Announcement is a small fact that spreads to every VM until it expires. Of two
// rumours with the same kind and key the one with the higher value wins.
type Announcement struct {
	Kind  string
	Key   uint64
	Value int64
	Until time.Time
}
