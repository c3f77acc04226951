package wire

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"

	"bergamotworks/fault"
)

// maxJSONBytes is the default of [Call.MaxBodyBytes].
const maxJSONBytes = 4 << 20

// Checker is a result that can find out that a response belongs to another call. It
// is used where responses do not repeat an identifier of their call.
type Checker interface {
	// Check returns an error if the result cannot be that of this call.
	Check() error
	// Identified reports whether a result that Check has accepted can only be that of
	// this call.
	Identified() bool
}

// DoJSON sends a call and decodes the JSON body of the response, if it has one,
// into result, which must be a pointer. If request is not nil, it is encoded as JSON
// and sent with a Content-Type. DoJSON sets the Host field to the address.
//
// If result is a [Checker], any error, and a result that it can't identify, may mean
// that the response belongs to an earlier call, so that a connection that has carried
// one is closed.
//
// If the status of the response is not 200, DoJSON returns the error that
// statusError returns for it; the body has been read by then and is not available.
// Any other error is a *fault.Error.
func (c *Client) DoJSON(ctx context.Context, call Call, request, result any, statusError func(*Response) error) error {
	call.Headers = append(call.Headers, Header{Name: "Host", Value: call.Address})
	if request != nil {
		data, err := json.Marshal(request)
		if err != nil {
			return fault.New(fault.Internal, fault.NotRun, "encode %s: %s", call.URI, err)
		}
		call.Body = data
		call.Headers = append(call.Headers, Header{Name: "Content-Type", Value: "application/json"})
	}
	response, err := c.Do(ctx, call)
	if err != nil {
		return err
	}
	defer response.Close()
	if call.OnHeaders != nil {
		call.OnHeaders(response.Headers)
	}
	body := Body{Budget: c.budget(call), Limit: cmp.Or(call.MaxBodyBytes, maxJSONBytes)}
	defer body.Release()
	if err := body.ReadAll(response.Body); err != nil {
		return fault.New(fault.ConnectionLost, fault.MayHaveRun, "answer to %s: %s", call.URI, err)
	}
	if response.Status != http.StatusOK {
		err = statusError(response)
	} else {
		err = body.Decode(func(data []byte) error { return decodeJSON(call.URI, data, result) })
		if err != nil && fault.From(err).Kind == fault.TooLarge {
			err = fault.New(fault.ConnectionLost, fault.MayHaveRun, "answer to %s: %s", call.URI, err)
		}
	}
	if checker, ok := result.(Checker); ok && (err != nil || !checker.Identified()) {
		response.abandonReused()
	}
	return err
}

// budget returns the budget for the body of the response to a call. Targets may be
// faulty; what they send must not keep the response of another peer from being read.
func (c *Client) budget(call Call) *BufferBudget {
	if call.Target.ID == "" {
		return &BufferBudget{}
	}
	return &c.Buffers
}

// decodeJSON decodes the body of a response to uri, if there is one, and checks the
// result if it is a [Checker].
func decodeJSON(uri string, data []byte, result any) error {
	if len(data) > 0 {
		if err := json.Unmarshal(data, result); err != nil {
			return fault.New(fault.TargetFailed, fault.MayHaveRun, "answer to %s: %s", uri, err)
		}
	}
	checker, ok := result.(Checker)
	if !ok {
		return nil
	}
	if err := checker.Check(); err != nil {
		return fault.New(fault.ConnectionLost, fault.MayHaveRun, "answer to %s: %s", uri, err)
	}
	return nil
}
