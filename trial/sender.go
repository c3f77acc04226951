package trial

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"bergamotworks/engine"
	"bergamotworks/fault"
	"bergamotworks/ports"
)

// The client API as far as it is used here, and limits of the connections.
const (
	pipelinePrefix   = "/v1/pipelines/"
	headerAccount    = "X-Account"
	headerDeadline   = "X-Deadline-Ms"
	connectTimeout   = time.Second
	maxConnsPerNode  = 4096
	eventBufferBytes = 16 << 10
)

// errUnknownEvent is returned for an event of a stream whose type is none of
// token, answer and error.
var errUnknownEvent = errors.New("unknown type of event in a stream")

// sender sends requests to nodes.
type sender struct {
	client fasthttp.Client
	clock  ports.Clock
}

func newSender(network ports.Network, clock ports.Clock) *sender {
	dial := func(address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
		defer cancel()
		return network.Dial(ctx, address)
	}
	return &sender{clock: clock, client: fasthttp.Client{
		Dial:               dial,
		MaxConnsPerHost:    maxConnsPerNode,
		StreamResponseBody: true,
		RetryIfErr:         func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// response is the result of one attempt.
type response struct {
	output  json.RawMessage
	problem *problem // Nil if the attempt succeeded.
	// inconsistent says that the body of a successful response was invalid JSON, or
	// that the tokens of a stream had a gap or did not add up to the output.
	inconsistent bool
	firstToken   time.Duration
	intervals    []time.Duration // Between tokens.
}

// problem has the fields of an error response that are used here.
type problem struct {
	Kind    fault.Kind    `json:"kind"`
	Verdict fault.Verdict `json:"verdict"`
}

// responseBody has the field of a successful response that is used here.
type responseBody struct {
	Output json.RawMessage `json:"output"`
}

// send sends a request with the given time to its deadline and waits for the
// response until the limit has passed.
func (s *sender) send(address string, planned plannedRequest, deadline, limit time.Duration) response {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	fillRequest(request, address, planned, deadline)
	request.SetTimeout(limit)
	started := s.clock.Now()
	if err := s.client.Do(request, resp); err != nil {
		return connectionLost()
	}
	defer func() { _ = resp.CloseBodyStream() }()
	if strings.HasPrefix(string(resp.Header.ContentType()), "text/event-stream") {
		return s.readEvents(resp.BodyStream(), started)
	}
	return readResponse(resp)
}

func fillRequest(request *fasthttp.Request, address string, planned plannedRequest, deadline time.Duration) {
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + pipelinePrefix + planned.pipeline)
	request.Header.SetContentType("application/json")
	request.Header.Set(headerAccount, planned.account)
	request.Header.Set(engine.HeaderIdempotencyKey, planned.key)
	request.Header.Set(headerDeadline, strconv.FormatInt(max(deadline.Milliseconds(), 1), 10))
	body := append([]byte(`{"input":`), planned.input...)
	body = append(body, `,"stream":`...)
	body = strconv.AppendBool(body, planned.stream)
	request.SetBody(append(body, '}'))
}

// connectionLost returns the result of an attempt without a complete and
// readable response.
func connectionLost() response {
	return response{problem: &problem{Kind: fault.ConnectionLost, Verdict: fault.MayHaveRun}}
}

// readResponse reads a response that is not streamed.
func readResponse(resp *fasthttp.Response) response {
	body, err := io.ReadAll(resp.BodyStream())
	if err != nil || len(body) != resp.Header.ContentLength() {
		return connectionLost()
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return decodeProblem(body)
	}
	var decoded responseBody
	if json.Unmarshal(body, &decoded) != nil {
		return response{inconsistent: true}
	}
	return response{output: decoded.Output}
}

// decodeProblem decodes an error response. If it cannot be decoded, the outcome
// is unknown.
func decodeProblem(body []byte) response {
	var p problem
	if json.Unmarshal(body, &p) != nil {
		return connectionLost()
	}
	return response{problem: &p}
}

// readEvents reads a stream of token events that ends with an answer event or an
// error event.
func (s *sender) readEvents(body io.Reader, started time.Time) response {
	e := eventReader{sender: s, started: started}
	reader := bufio.NewReaderSize(body, eventBufferBytes)
	for !e.done {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			return connectionLost()
		}
		if err := e.parseLine(bytes.TrimSpace(line)); err != nil {
			return connectionLost()
		}
	}
	return e.response
}

// eventReader assembles the response from a stream of server-sent events.
type eventReader struct {
	sender   *sender
	started  time.Time
	last     time.Time
	event    string
	text     strings.Builder
	tokens   int
	response response
	done     bool
}

// tokenEvent is the data of a token event.
type tokenEvent struct {
	Position int    `json:"position"`
	Text     string `json:"text"`
}

func (e *eventReader) parseLine(line []byte) error {
	if name, ok := bytes.CutPrefix(line, []byte("event:")); ok {
		e.event = string(bytes.TrimSpace(name))
		return nil
	}
	data, ok := bytes.CutPrefix(line, []byte("data:"))
	if !ok {
		return nil
	}
	data = bytes.TrimSpace(data)
	switch e.event {
	case "token":
		return e.token(data)
	case "answer":
		return e.finalOutput(data)
	case "error":
		e.done = true
		e.response.problem = decodeProblem(data).problem
		return nil
	default:
		return errUnknownEvent
	}
}

func (e *eventReader) token(data []byte) error {
	var t tokenEvent
	if err := json.Unmarshal(data, &t); err != nil {
		return err
	}
	now := e.sender.clock.Now()
	if e.tokens == 0 {
		e.response.firstToken = now.Sub(e.started)
	} else {
		e.response.intervals = append(e.response.intervals, now.Sub(e.last))
	}
	e.last = now
	e.response.inconsistent = e.response.inconsistent || t.Position != e.tokens
	e.tokens++
	e.text.WriteString(t.Text)
	return nil
}

func (e *eventReader) finalOutput(data []byte) error {
	var a responseBody
	if err := json.Unmarshal(data, &a); err != nil {
		return err
	}
	e.done = true
	e.response.output = a.Output
	want := engine.Canonical(engine.TextOutput(e.text.String()))
	if e.tokens > 0 && string(want) != string(engine.Canonical(a.Output)) {
		e.response.inconsistent = true
	}
	return nil
}
