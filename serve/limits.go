package serve

import "bergamotworks/relay"

const (
	// requestBodyShare, responseShare, heldShare and heapShare are shares of the memory
	// of the VM.
	requestBodyShare = 0.25
	responseShare    = 0.2
	heldShare        = 1.0 / 3
	heapShare        = 0.6
	// maxResponseBytes bounds the responses: a VM with more than 168 MB of memory gets no
	// more for them.
	maxResponseBytes = 32 << 20
	// ownBytes is what a node holds without clients, with the tables of a large fleet.
	ownBytes = 8_000_000
	// requestShare is the part of what peers may make the node hold that clients get.
	// The rest is for responses: a request that is rejected has not run, while one
	// whose response finds no memory has.
	requestShare = 0.75
	// connectionShare is the part of HeldBytes that connections of clients may take.
	connectionShare = 0.25
	// socketShare is the share of the memory of the VM that the system may use for what
	// clients have not read yet, in addition to the heap.
	socketShare = 0.2
	// minSocketBytes and maxSocketBytes bound the send buffer of a connection. The
	// system's own choice grows to some MB; if as much as maxSocketBytes is available
	// for each connection, it is left to the system.
	minSocketBytes = 16 << 10
	maxSocketBytes = 128 << 10
	// socketOverhead is the memory that Linux allows for each byte of a send buffer.
	socketOverhead = 2
	// defaultHeapBytes is the limit of the heap if the memory of the VM is not known.
	defaultHeapBytes = 200 << 20

	// fileDescriptors is the number of descriptors that are reserved for files.
	fileDescriptors = 200
	// clientDescriptorShare is the part of the others that connections of clients may
	// take. As many may be needed for their requests to targets. What is left is for
	// other nodes, idle connections to targets and the store.
	clientDescriptorShare = 0.375
)

// Limits are limits on what a node holds, derived from the memory and the descriptors
// of its VM. Of the limits in bytes, zero means a default or none.
type Limits struct {
	// HeldBytes limits what peers make the node hold altogether: connections, requests
	// in flight, their bodies, and responses. Zero means that only the other limits
	// apply.
	HeldBytes int64
	// RequestBytes limits the part of HeldBytes without the responses.
	RequestBytes int64
	// RequestBodyBytes limits the bodies of all requests of clients; zero means the
	// default of [wire.BufferBudget].
	RequestBodyBytes int64
	// ResponseBytes limits the responses of targets that the node has in memory; zero
	// means the default of [wire.BufferBudget].
	ResponseBytes int64
	// Connections is the maximum number of connections of clients; zero means no limit.
	Connections int
	// SocketBytes is the send buffer of a connection of a client; zero leaves it to the
	// system.
	SocketBytes int
	// HeapBytes is the size of the heap near which collections run more often.
	HeapBytes int64
}

// NewLimits returns the limits for a VM with a memory in bytes and a number of
// descriptors; zero means that it is not known.
func NewLimits(memory int64, descriptors int) Limits {
	l := Limits{HeapBytes: defaultHeapBytes}
	if descriptors > 0 {
		l.Connections = max(1, int(clientDescriptorShare*float64(descriptors-fileDescriptors)))
	}
	if memory <= 0 {
		return l
	}
	share := func(s float64) int64 { return int64(s * float64(memory)) }
	l.HeapBytes = share(heapShare)
	l.HeldBytes = max(share(heldShare)-ownBytes, share(heldShare)/2)
	l.RequestBytes = int64(requestShare * float64(l.HeldBytes))
	l.RequestBodyBytes = share(requestBodyShare)
	l.ResponseBytes = min(share(responseShare), maxResponseBytes)
	byMemory := int(connectionShare * float64(l.HeldBytes) / relay.ConnectionBytes)
	if l.Connections == 0 || byMemory < l.Connections {
		l.Connections = max(1, byMemory)
	}
	if b := int(share(socketShare)) / l.Connections / socketOverhead; b < maxSocketBytes {
		l.SocketBytes = max(minSocketBytes, b)
	}
	return l
}
