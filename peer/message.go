package peer

import (
	"encoding/json"

	"github.com/sourcegraph/jsonrpc2"

	"bergamotworks/fault"
)

// The methods that the mesh itself uses.
const (
	methodChunks = "peer.chunks"
	methodCancel = "peer.cancel"
	methodPing   = "peer.ping"
)

// envelope carries the parameters of a call.
type envelope struct {
	From   string          `json:"from"`
	Call   uint64          `json:"call"`
	Params json.RawMessage `json:"params"`
}

// chunks is a run of parts of a streamed answer.
type chunks struct {
	Call uint64            `json:"call"`
	Data []json.RawMessage `json:"data"`
}

// cancel says that the caller of a call no longer waits.
type cancel struct {
	Call uint64 `json:"call"`
}

// errorCode marks a *fault.Error in the data of a JSON-RPC error.
const errorCode = -32000

func encodeError(err error) *jsonrpc2.Error {
	fe := fault.From(err)
	wire := &jsonrpc2.Error{Code: errorCode, Message: fe.Message}
	wire.SetError(fe)
	return wire
}

func decodeError(wire *jsonrpc2.Error) error {
	if wire.Code == jsonrpc2.CodeMethodNotFound {
		return fault.New(fault.NotFound, fault.NotRun, "%s", wire.Message)
	}
	var fe fault.Error
	if wire.Data == nil || json.Unmarshal(*wire.Data, &fe) != nil {
		return fault.New(fault.Internal, fault.MayHaveRun, "%s", wire.Message)
	}
	return &fe
}
