package conf

import "bergamotworks/ports"

// event is an input of the state machine.
type event interface{ event() }

type (
	// tick carries the live VMs without this one. The loop sends one on each
	// pass, so that due actions are returned even if no other event arrives.
	tick struct{ live []string }
	// peerRevision reports the revision that is active on a peer.
	peerRevision struct {
		vm       string
		revision int64
	}
	// storeRead is the result of a readStore.
	storeRead struct {
		revision  int64
		unchanged ports.Compare // That the store still holds the head that was read.
		err       error
	}
	// fetched is the result of a fetchPeer.
	fetched struct {
		vm       string
		revision int64
		err      error
	}
	// activated reports that a revision has become active on this node.
	activated struct{ revision int64 }
	// headChanged reports a change of the head seen by the watch.
	headChanged struct{}
	// watchEnded reports that the watch failed or could not be opened.
	watchEnded struct{}
)

func (tick) event()         {}
func (peerRevision) event() {}
func (storeRead) event()    {}
func (fetched) event()      {}
func (activated) event()    {}
func (headChanged) event()  {}
func (watchEnded) event()   {}

// action is an output of the state machine.
type action interface{ action() }

type (
	// readStore reads the head and activates its configuration if it is newer.
	readStore struct{}
	// fetchPeer fetches the configuration of a peer and activates it if it is
	// newer.
	fetchPeer struct{ vm string }
	// openWatch starts a watch of the head, which lasts until closeWatch.
	openWatch  struct{}
	closeWatch struct{}
	// announce sends the active revision to peers.
	announce struct{ vms []string }
	// restore replaces an older head with the active configuration, provided
	// that it is unchanged.
	restore struct{ unchanged ports.Compare }
)

func (readStore) action()  {}
func (fetchPeer) action()  {}
func (openWatch) action()  {}
func (closeWatch) action() {}
func (announce) action()   {}
func (restore) action()    {}
