package member

// Event is something that happens to a [Table].
type Event interface{ event() }

// Tick says that time has passed. A table needs one at least every 50 ms.
type Tick struct{}

// DatagramReceived is a datagram that came in.
type DatagramReceived struct {
	From    string // Address of the sender.
	Payload []byte
}

// SeedsUpdated is the platform's present list of gossip addresses.
type SeedsUpdated struct{ Addresses []string }

// AttributesChanged replaces the attributes of the own VM.
type AttributesChanged struct{ Attributes Attributes }

// BroadcastRequested asks to spread a rumour.
type BroadcastRequested struct{ Announcement Announcement }

// LeaveStarted announces the planned stop of the own VM.
type LeaveStarted struct{}

// LeaveCompleted announces that the own VM has stopped.
type LeaveCompleted struct{}

func (Tick) event()               {}
func (DatagramReceived) event()   {}
func (SeedsUpdated) event()       {}
func (AttributesChanged) event()  {}
func (BroadcastRequested) event() {}
func (LeaveStarted) event()       {}
func (LeaveCompleted) event()     {}

// Action is something that a [Table] asks its shell to do.
type Action interface{ action() }

// Send asks for a datagram to be sent.
type Send struct {
	To      string
	Payload []byte
}

// Publish hands out a new view of the membership.
type Publish struct {
	View           View
	MembersChanged bool // The members changed, and not only their attributes.
}

// Deliver hands out a rumour that is new to this VM.
type Deliver struct{ Announcement Announcement }

// NewerRevision says that another VM has a higher configuration revision in force
// than this VM has heard of before.
type NewerRevision struct {
	VM       VM
	Revision int64
}

func (NewerRevision) action() {}
func (Send) action()          {}
func (Publish) action()       {}
func (Deliver) action()       {}
