package member

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

type messageKind uint8

const (
	ping messageKind = iota + 1
	ack
	pingRequest // Asks a third VM to probe Target.
	gossip      // Carries changes and needs no answer.
	syncDigest  // Compares the tables bucket by bucket.
	syncState   // Carries the entries of the buckets that differ.
)

const (
	flagReady uint8 = 1 << iota
	flagStoreReachable
)

// message is the one datagram format. Its keys are numbers to keep it short.
type message struct {
	Kind        messageKind `cbor:"1,keyasint"`
	Sequence    uint32      `cbor:"2,keyasint,omitempty"`
	From        string      `cbor:"3,keyasint"`
	Incarnation uint64      `cbor:"4,keyasint"`
	Flags       uint8       `cbor:"5,keyasint,omitempty"`
	Revision    int64       `cbor:"6,keyasint,omitempty"`
	Loads       []PoolLoad  `cbor:"7,keyasint,omitempty"`
	Target      string      `cbor:"8,keyasint,omitempty"` // Address in a pingRequest; else the VM whose answer or table is passed on.
	Confirmed   uint64      `cbor:"9,keyasint,omitempty"` // Incarnation of the receiver that the sender holds live.
	Deltas      []delta     `cbor:"10,keyasint,omitempty"`
	Rumors      []wireRumor `cbor:"11,keyasint,omitempty"`
	Digests     []uint32    `cbor:"12,keyasint,omitempty"`
}

// delta is one entry of the table. Details are sent where the receiver may not
// know the VM yet.
type delta struct {
	ID          string   `cbor:"1,keyasint"`
	Incarnation uint64   `cbor:"2,keyasint"`
	State       State    `cbor:"3,keyasint,omitempty"`
	Ready       bool     `cbor:"4,keyasint,omitempty"`
	Turn        uint32   `cbor:"5,keyasint,omitempty"` // Counts the changes of Ready.
	Details     *details `cbor:"6,keyasint,omitempty"`
	Millicores  int      `cbor:"7,keyasint,omitempty"` // Sent with the details.
}

type details struct {
	_       struct{} `cbor:",toarray"`
	Address string
	Gossip  string
	Domain  string
	Region  string
}

type wireRumor struct {
	_     struct{} `cbor:",toarray"`
	Kind  string
	Key   uint64
	Value int64
	Until int64 // Unix time in milliseconds.
}

// size bounds the encoded length of the delta in bytes.
func (d delta) size() int {
	size := len(d.ID) + 30
	if d.Details != nil {
		size += len(d.Details.Address) + len(d.Details.Gossip) + len(d.Details.Domain) + len(d.Details.Region) + 8
	}
	return size
}

// size bounds the encoded length of the rumour in bytes.
func (r wireRumor) size() int { return len(r.Kind) + 30 }

func (r wireRumor) until() time.Time { return time.UnixMilli(r.Until) }

func encode(m message) []byte {
	payload, err := cbor.Marshal(m)
	if err != nil {
		panic(err) // Every field of a message has an encoding.
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
