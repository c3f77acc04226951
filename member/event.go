package member

// Event is an input of a [Table].
type Event interface{ event() }

// Tick means that time has passed. A table needs one at least every 50 ms to
// process timeouts.
type Tick struct{}

// DatagramReceived means that a datagram arrived from another VM.
type DatagramReceived struct {
	From    string // Address of the sender.
	Payload []byte
}

// SeedsUpdated means that the platform provided a new list of gossip addresses.
type SeedsUpdated struct{ Addresses []string }

// AttributesChanged means that the local VM has new attributes.
type AttributesChanged struct{ Attributes Attributes }

// BroadcastRequested requests that an announcement be gossiped to every VM.
type BroadcastRequested struct{ Announcement Announcement }

// LeaveStarted means that a planned shutdown of the local VM has started.
type LeaveStarted struct{}

// LeaveCompleted means that the planned shutdown of the local VM is complete.
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

// Send requests that a datagram be sent.
type Send struct {
	To      string // Gossip address of the receiver.
	Payload []byte
}

// Publish requests that a new view of the membership be published.
type Publish struct {
	View           View
	MembersChanged bool // Whether anything but attributes changed.
}

// Deliver requests that an announcement that is new to this VM be delivered to
// the application.
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
