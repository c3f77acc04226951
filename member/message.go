package member

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

type messageKind uint8

const (
	ping messageKind = iota + 1
	ack
	pingRequest // Asks the receiver to probe the address in Subject.
	gossip      // Carries updates and expects no response.
	syncDigest  // Compares the table digests of each bucket.
	syncState   // Carries the entries of the buckets that differ.
)

const (
	flagReady uint8 = 1 << iota
	flagStoreReachable
)

// message is the only datagram format. Its CBOR keys are integers to keep it
// small.
type message struct {
	Kind        messageKind `cbor:"1,keyasint"`
	Sequence    uint32      `cbor:"2,keyasint,omitempty"`
	From        string      `cbor:"3,keyasint"`
	Incarnation uint64      `cbor:"4,keyasint"`
	Flags       uint8       `cbor:"5,keyasint,omitempty"`
	Revision    int64       `cbor:"6,keyasint,omitempty"` // Active configuration revision of the sender.
	Loads       []PoolLoad  `cbor:"7,keyasint,omitempty"`
	// Subject is the address to probe in a pingRequest, and otherwise the ID of the
	// VM whose ack or death notice is relayed.
	Subject string `cbor:"8,keyasint,omitempty"`
	// Confirmed is the incarnation of the receiver if the sender considers it live,
	// else zero.
	Confirmed     uint64             `cbor:"9,keyasint,omitempty"`
	Updates       []memberUpdate     `cbor:"10,keyasint,omitempty"`
	Announcements []wireAnnouncement `cbor:"11,keyasint,omitempty"`
	Digests       []uint32           `cbor:"12,keyasint,omitempty"`
}

// memberUpdate is the state of one table entry. Details are included where the
// receiver may not have an entry for the VM yet.
type memberUpdate struct {
	ID           string   `cbor:"1,keyasint"`
	Incarnation  uint64   `cbor:"2,keyasint"`
	State        State    `cbor:"3,keyasint,omitempty"`
	Ready        bool     `cbor:"4,keyasint,omitempty"`
	ReadyVersion uint32   `cbor:"5,keyasint,omitempty"` // Number of changes of Ready.
	Details      *details `cbor:"6,keyasint,omitempty"`
	Millicores   int      `cbor:"7,keyasint,omitempty"` // Sent along with Details.
}

// details are the addresses and the location of a VM, encoded as an array.
type details struct {
	_       struct{} `cbor:",toarray"`
	Address string
	Gossip  string
	Domain  string
	Region  string
}

// wireAnnouncement is an [Announcement], encoded as an array.
type wireAnnouncement struct {
	_     struct{} `cbor:",toarray"`
	Kind  string
	Key   uint64
	Value int64
	Until int64 // Unix time in milliseconds.
}

// size returns an upper bound of the encoded length in bytes.
func (u memberUpdate) size() int {
	size := len(u.ID) + 30
	if u.Details != nil {
		size += len(u.Details.Address) + len(u.Details.Gossip) + len(u.Details.Domain) + len(u.Details.Region) + 8
	}
	return size
}

// size returns an upper bound of the encoded length in bytes.
func (a wireAnnouncement) size() int { return len(a.Kind) + 30 }

func (a wireAnnouncement) until() time.Time { return time.UnixMilli(a.Until) }

func encode(m message) []byte {
	payload, err := cbor.Marshal(m)
	if err != nil {
		panic(err) // Every field of a message is encodable.
	}
	return payload
}

func decode(payload []byte) (message, error) {
	var m message
	err := cbor.Unmarshal(payload, &m)
	return m, err
}

func (a Attributes) flags() uint8 {
	var flags uint8
	if a.Ready {
		flags |= flagReady
	}
	if a.StoreReachable {
		flags |= flagStoreReachable
	}
	return flags
}

func (m message) attributes() Attributes {
	return Attributes{
		Revision:       m.Revision,
		Ready:          m.Flags&flagReady != 0,
		StoreReachable: m.Flags&flagStoreReachable != 0,
		Loads:          m.Loads,
	}
}
