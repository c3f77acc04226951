package member

// Event is an input of a [Table].
type Event interface{ event() }

// Tick lets a table process timeouts. A table needs one at least every 50 ms.
type Tick struct{}

// DatagramReceived is a datagram received from another VM.
type DatagramReceived struct {
	From    string // Address of the sender.
	Payload []byte
}

// SeedsUpdated replaces the list of gossip addresses provided by the platform.
type SeedsUpdated struct{ Addresses []string }

// AttributesChanged replaces the attributes of the local VM.
type AttributesChanged struct{ Attributes Attributes }

// BroadcastRequested starts to gossip an announcement.
type BroadcastRequested struct{ Announcement Announcement }

// LeaveStarted announces the planned shutdown of the local VM.
type LeaveStarted struct{}

// LeaveCompleted announces that the local VM has shut down.
type LeaveCompleted struct{}

func (Tick) event()               {}
func (DatagramReceived) event()   {}
func (SeedsUpdated) event()       {}
func (AttributesChanged) event()  {}
func (BroadcastRequested) event() {}
func (LeaveStarted) event()       {}
func (LeaveCompleted) event()     {}

// Action is an output of a [Table] that its caller performs.
type Action interface{ action() }

// Send is a datagram to send.
type Send struct {
	To      string
	Payload []byte
}

// Publish is a new view of the membership.
type Publish struct {
	View           View
	MembersChanged bool // Whether anything but attributes changed.
}

// Deliver is an announcement that is new to this VM.
type Deliver struct{ Announcement Announcement }

// NewerRevision reports that another VM has a higher active configuration
// revision than any seen before.
type NewerRevision struct {
	VM       VM
	Revision int64
}

func (NewerRevision) action() {}
func (Send) action()          {}
func (Publish) action()       {}
func (Deliver) action()       {}
