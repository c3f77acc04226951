package wire

import (
	"context"
	"encoding/json"
	"net/http"

	"bergamotworks/fault"
)

// maxJSONBytes bounds the answer to a call with JSON bodies.
const maxJSONBytes = 4 << 20

// DoJSON sends a call with a JSON body, unless it is nil, and decodes the JSON
// body of its answer. Refused returns the error for an answer whose status is
// not 200.
func (c *Client) DoJSON(ctx context.Context, call Call, body, result any, refused func(*Response) error) error {
	call.Headers = append(call.Headers, Header{Name: "Host", Value: call.Address})
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return fault.New(fault.Internal, fault.NotRun, "encode %s: %s", call.URI, err)
		}
		call.Body = data
		call.Headers = append(call.Headers, Header{Name: "Content-Type", Value: "application/json"})
	}
	answer, err := c.Do(ctx, call)
	if err != nil {
		return err
	}
	defer answer.Close()
	data, err := answer.ReadAll(maxJSONBytes)
	if err != nil {
		return fault.New(fault.ConnectionLost, fault.MayHaveRun, "answer to %s: %s", call.URI, err)
	}
	if answer.Status != http.StatusOK {
		return refused(answer)
	}
	if len(data) == 0 {
		return nil
	}
	if err := json.Unmarshal(data, result); err != nil {
		return fault.New(fault.TargetFailed, fault.MayHaveRun, "answer to %s: %s", call.URI, err)
	}
	return nil
}
