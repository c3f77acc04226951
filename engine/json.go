package engine

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"bergamotworks/fault"
	"bergamotworks/wire"
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
	text, err := a.readBody(response, a.client.maxResponseBytes())
	defer text.Release()
	if err != nil {
		return Response{}, a.connectionFailure(err)
	}
	var body callResponse
	if err := text.Decode(func(data []byte) error { return json.Unmarshal(data, &body) }); err != nil {
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

// readBody reads the body of a response of up to limit bytes, with memory that all
// calls share. The result must be released, also after an error.
func (a *attempt) readBody(response *fasthttp.Response, limit int) (*wire.Body, error) {
	body := &wire.Body{Budget: &a.client.buffers, Limit: min(limit, a.client.maxResponseBytes())}
	response.StreamBody = true
	if err := response.ReadBody(a.conn.Reader, 0); err != nil {
		return body, err
	}
	source := response.BodyStream()
	if source == nil { // A response without a body.
		return body, nil
	}
	return body, body.ReadAll(source)
}
