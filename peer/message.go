package peer

import (
	"encoding/json"

	"github.com/sourcegraph/jsonrpc2"

	"bergamotworks/fault"
)

// Methods used by the mesh itself.
const (
	methodChunks = "peer.chunks"
	methodCancel = "peer.cancel"
	methodPing   = "peer.ping"
)

// envelope wraps the parameters of a call.
type envelope struct {
	From   string          `json:"from"`
	Call   uint64          `json:"call"`
	Params json.RawMessage `json:"params"`
}

// chunkMessage carries one or more chunks of a streamed response.
type chunkMessage struct {
	Call uint64            `json:"call"`
	Data []json.RawMessage `json:"data"`
}

// cancelMessage cancels a call of the sender.
type cancelMessage struct {
	Call uint64 `json:"call"`
}

// errorCode is the JSON-RPC error code of an error whose data is a
// *fault.Error.
const errorCode = -32000

// encodeError returns the JSON-RPC error that carries err as a *fault.Error.
func encodeError(err error) *jsonrpc2.Error {
	fe := fault.From(err)
	wire := &jsonrpc2.Error{Code: errorCode, Message: fe.Message}
	wire.SetError(fe)
	return wire
}

// decodeError returns the *fault.Error that a JSON-RPC error carries. An unknown
// method becomes NotFound, and an error without a *fault.Error Internal.
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
