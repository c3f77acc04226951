package member

// Event is something that happens to a [Table].
type Event interface{ event() }

// Tick says that time has passed. A table needs one at least every 50 ms.
type Tick struct{}

// Received is a datagram that came in.
type Received struct {
	From    string // Address of the sender.
	Payload []byte
}

// Seeded is the platform's present list of gossip addresses.
type Seeded struct{ Addresses []string }

// Changed replaces the attributes of the own VM.
type Changed struct{ Attributes Attributes }

// Broadcasted asks to spread a rumour.
type Broadcasted struct{ Rumor Rumor }

// LeaveBegun announces the planned stop of the own VM.
type LeaveBegun struct{}

// LeaveDone announces that the own VM has stopped.
type LeaveDone struct{}

func (Tick) event()        {}
func (Received) event()    {}
func (Seeded) event()      {}
func (Changed) event()     {}
func (Broadcasted) event() {}
func (LeaveBegun) event()  {}
func (LeaveDone) event()   {}

// Action is something that a [Table] asks its shell to do.
type Action interface{ action() }

// Send asks for a datagram to be sent.
type Send struct {
	To      string
	Payload []byte
}

// Publish hands out a new view of the membership.
type Publish struct {
	View    View
	Members bool // The members changed, and not only their attributes.
}

// Deliver hands out a rumour that is new to this VM.
type Deliver struct{ Rumor Rumor }

// Behind says that another VM has a higher configuration revision in force
// than this VM has heard of before.
type Behind struct {
	VM       VM
	Revision int64
}

func (Behind) action()  {}
func (Send) action()    {}
func (Publish) action() {}
func (Deliver) action() {}
