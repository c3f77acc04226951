package conf

// event is an input of the state machine.
type event interface{ event() }

type (
	// membersSeen tells which other VMs are alive. It also serves as a tick.
	membersSeen struct{ live []string }
	// learned tells that a peer has a revision in force.
	learned struct {
		vm       string
		revision int64
	}
	// storeRead tells the outcome of a readStore.
	storeRead struct {
		revision    int64
		modRevision int64
		err         error
	}
	// fetched tells the outcome of a fetchPeer.
	fetched struct {
		vm       string
		revision int64
		err      error
	}
	// installed tells that a revision is in force on this node.
	installed struct{ revision int64 }
	// headChanged tells that the watch has reported a change.
	headChanged struct{}
	// watchEnded tells that the watch was lost or could not be opened.
	watchEnded struct{}
)

func (membersSeen) event() {}
func (learned) event()     {}
func (storeRead) event()   {}
func (fetched) event()     {}
func (installed) event()   {}
func (headChanged) event() {}
func (watchEnded) event()  {}

// action is an output of the state machine.
type action interface{ action() }

type (
	// readStore reads the head and installs it if it is newer.
	readStore struct{}
	// fetchPeer fetches from a peer and installs the answer if it is newer.
	fetchPeer struct{ vm string }
	// openWatch watches the head until closeWatch.
	openWatch  struct{}
	closeWatch struct{}
	// announce tells peers the revision in force.
	announce struct{ vms []string }
	// restore writes the configuration in force over an older head.
	restore struct{ modRevision int64 }
)

func (readStore) action()  {}
func (fetchPeer) action()  {}
func (openWatch) action()  {}
func (closeWatch) action() {}
func (announce) action()   {}
func (restore) action()    {}
