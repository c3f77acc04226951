package engine

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"bergamotworks/fault"
)

// callResponse is the body of a response that is not a stream.
type callResponse struct {
	ID     string          `json:"id"`
	Output json.RawMessage `json:"output"`
}

// readJSON reads the body of a response that is not a stream, but one JSON object.
// Such a response must have a Content-Length.
func (a *attempt) readJSON(response *fasthttp.Response) (Response, *Failure) {
	firstByte := a.client.Clock.Now().Sub(a.started)
	if response.Header.ContentLength() < 0 {
		return Response{}, mayHaveRun(Corrupt, fault.TargetFailed, "the answer states no length")
	}
	a.setDeadline(a.client.progressTimeout())
	if err := response.ReadBody(a.conn.Reader, a.client.maxResponseBytes()); err != nil {
		return Response{}, a.connectionFailure(err)
	}
	var body callResponse
	if err := json.Unmarshal(response.Body(), &body); err != nil {
		return Response{}, mayHaveRun(Corrupt, fault.TargetFailed, "answer of %s: %s", a.call.Target, err)
	}
	if body.ID != a.call.Attempt {
		return Response{}, mayHaveRun(Corrupt, fault.TargetFailed, "the answer belongs to attempt %q", body.ID)
	}
	if len(body.Output) == 0 {
		return Response{}, mayHaveRun(Corrupt, fault.TargetFailed, "the answer has no output")
	}
	return Response{Output: body.Output, FirstToken: firstByte}, nil
}
