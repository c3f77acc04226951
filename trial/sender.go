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

// The parts of the callers' API that experiments use.
const (
	pipelinePrefix   = "/v1/pipelines/"
	headerAccount    = "X-Account"
	headerDeadline   = "X-Deadline-Ms"
	connectTimeout   = time.Second
	maxCallerConns   = 4096
	eventBufferBytes = 16 << 10
)

// errTruncated means that a stream ended before its answer.
var errTruncated = errors.New("the stream ended without an answer")

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
		MaxConnsPerHost:    maxCallerConns,
		StreamResponseBody: true,
		RetryIfErr:         func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// response is what one attempt brought.
type response struct {
	output    json.RawMessage
	problem   *problem
	broken    bool // The tokens of a stream had a gap or did not make up the output.
	first     time.Duration
	intervals []time.Duration // Between tokens.
}

// problem is the part of a refusal that experiments look at.
type problem struct {
	Kind    fault.Kind    `json:"kind"`
	Verdict fault.Verdict `json:"verdict"`
}

// answerBody is the part of an answer that experiments look at.
type answerBody struct {
	Output json.RawMessage `json:"output"`
}

// send sends a request whose deadline is that far away, and waits for the
// answer up to the limit.
func (s *sender) send(address string, planned planned, deadline, limit time.Duration) response {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	answer := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(answer)
	fill(request, address, planned, deadline)
	request.SetTimeout(limit)
	started := s.clock.Now()
	if err := s.client.Do(request, answer); err != nil {
		return lost()
	}
	defer func() { _ = answer.CloseBodyStream() }()
	if strings.HasPrefix(string(answer.Header.ContentType()), "text/event-stream") {
		return s.events(answer.BodyStream(), started)
	}
	return whole(answer)
}

func fill(request *fasthttp.Request, address string, planned planned, deadline time.Duration) {
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

// lost is the outcome of an attempt without an answer.
func lost() response {
	return response{problem: &problem{Kind: fault.ConnectionLost, Verdict: fault.MayHaveRun}}
}

// whole reads an answer that comes at once.
func whole(answer *fasthttp.Response) response {
	body, err := io.ReadAll(answer.BodyStream())
	if err != nil || len(body) != answer.Header.ContentLength() {
		return lost()
	}
	if answer.StatusCode() != fasthttp.StatusOK {
		return refusal(body)
	}
	var decoded answerBody
	if json.Unmarshal(body, &decoded) != nil {
		return response{broken: true}
	}
	return response{output: decoded.Output}
}

// refusal reads a problem; one that cannot be read leaves the outcome open.
func refusal(body []byte) response {
	var p problem
	if json.Unmarshal(body, &p) != nil {
		return lost()
	}
	return response{problem: &p}
}

// events reads a stream of tokens that ends in an answer or an error.
func (s *sender) events(body io.Reader, started time.Time) response {
	e := eventReader{sender: s, started: started}
	reader := bufio.NewReaderSize(body, eventBufferBytes)
	for !e.done {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			return lost()
		}
		if err := e.line(bytes.TrimSpace(line)); err != nil {
			return lost()
		}
	}
	return e.response
}

// eventReader puts a stream together.
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

// tokenEvent is one token of a stream.
type tokenEvent struct {
	Position int    `json:"position"`
	Text     string `json:"text"`
}

func (e *eventReader) line(line []byte) error {
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
		return e.answer(data)
	case "error":
		e.done = true
		e.response.problem = refusal(data).problem
		return nil
	default:
		return errTruncated
	}
}

func (e *eventReader) token(data []byte) error {
	var t tokenEvent
	if err := json.Unmarshal(data, &t); err != nil {
		return err
	}
	now := e.sender.clock.Now()
	if e.tokens == 0 {
		e.response.first = now.Sub(e.started)
	} else {
		e.response.intervals = append(e.response.intervals, now.Sub(e.last))
	}
	e.last = now
	e.response.broken = e.response.broken || t.Position != e.tokens
	e.tokens++
	e.text.WriteString(t.Text)
	return nil
}

func (e *eventReader) answer(data []byte) error {
	var a answerBody
	if err := json.Unmarshal(data, &a); err != nil {
		return err
	}
	e.done = true
	e.response.output = a.Output
	want := engine.Canonical(engine.TextOutput(e.text.String()))
	if e.tokens > 0 && string(want) != string(engine.Canonical(a.Output)) {
		e.response.broken = true
	}
	return nil
}
