package flow

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"bergamotworks/fault"
	"bergamotworks/member"
	"bergamotworks/peer"
)

// MethodServe is the method by which a node sends a request to its home.
const MethodServe = "flow.serve"

// serveRequest asks the home of a request to run it.
type serveRequest struct {
	Request Request `json:"request"`
	// Resume is the text of the last stage that the caller already has, and
	// ResumeTokens the number of its tokens.
	Resume       string `json:"resume,omitempty"`
	ResumeTokens int    `json:"resume_tokens,omitempty"`
}

// serveAnswer is the outcome of a request at its home.
type serveAnswer struct {
	Answer Response     `json:"answer"`
	Fault  *fault.Error `json:"fault,omitempty"`
}

const (
	maxHomes = 3 // Homes that are tried for one request at most.
	// verdictGrace is the time after the deadline in which the home's own
	// verdict is awaited.
	verdictGrace = 250 * time.Millisecond
)

// Serve runs a request at its home and returns its whole answer. Chunks arrive
// in order, before Serve returns.
func (s *Service) Serve(ctx context.Context, request Request, onChunk func(Chunk)) (Response, error) {
	s.once.Do(s.init)
	if !s.running.TryAdd() {
		return Response{}, errClosed()
	}
	defer s.running.Done()
	t := &relay{service: s, request: serveRequest{Request: request}, onChunk: onChunk}
	return t.run(ctx)
}

// HandleServe serves [MethodServe].
func (s *Service) HandleServe(ctx context.Context, incoming peer.Request) (any, error) {
	s.once.Do(s.init)
	if !s.running.TryAdd() {
		return nil, errClosed()
	}
	defer s.running.Done()
	var request serveRequest
	if err := json.Unmarshal(incoming.Params, &request); err != nil {
		return nil, fault.InvalidField("params", "%s", err)
	}
	var onChunk func(Chunk)
	if request.Request.Stream {
		onChunk = func(c Chunk) { _ = incoming.Send(c) }
	}
	answer, err := s.serveHere(ctx, request, onChunk)
	return serveAnswer{Answer: answer, Fault: fault.From(err)}, nil
}

// errClosed refuses work that reaches a node which has stopped.
func errClosed() *fault.Error {
	return fault.New(fault.Unavailable, fault.NotRun, "the node has stopped")
}

// relay passes a request to its home and the answer back. If a home is lost it
// tries the next one: stages that are idempotent may repeat, and the ledger
// guards the others.
type relay struct {
	service *Service
	request serveRequest
	onChunk func(Chunk)
	text    strings.Builder
	tokens  int
	open    bool // A home was lost that may have run stages.
}

func (t *relay) run(ctx context.Context) (Response, error) {
	answer, err := t.homes(ctx)
	if err != nil && t.open && fault.VerdictOf(err) == fault.NotRun {
		err = fault.From(err).WithVerdict(fault.MayHaveRun)
	}
	return answer, err
}

// homes tries one home after the other until one gives its verdict.
func (t *relay) homes(ctx context.Context) (Response, error) {
	key := homeKey(t.request.Request.Fingerprint)
	view := t.service.View()
	home, ok := view.Owner(key)
	if !ok {
		return t.here(ctx)
	}
	answer, err := t.at(ctx, home)
	if !isLost(err) {
		return answer, err
	}
	for _, vm := range t.service.View().Rank(key, maxHomes) {
		if vm.ID == home.ID {
			continue
		}
		answer, err = t.at(ctx, vm)
		if !isLost(err) {
			return answer, err
		}
	}
	return answer, err
}

// lostError marks a home that could not be asked or whose answer was lost.
type lostError struct{ cause *fault.Error }

func (l *lostError) Error() string { return l.cause.Error() }
func (l *lostError) Unwrap() error { return l.cause }

func isLost(err error) bool {
	_, lost := err.(*lostError) //nolint:errorlint // Only the relay itself makes this error, unwrapped.
	return lost
}

func (t *relay) at(ctx context.Context, vm member.VM) (Response, error) {
	if vm.ID == t.service.Self {
		return t.here(ctx)
	}
	wait, cancel := t.limit(ctx)
	defer cancel()
	t.request.Resume = t.text.String()
	t.request.ResumeTokens = t.tokens
	var reply serveAnswer
	err := t.service.Peers.Stream(wait, vm.ID, MethodServe, t.request, &reply, t.receive)
	if err == nil {
		return reply.Answer, nilOrError(reply.Fault)
	}
	fe := fault.From(err)
	if fe.Kind == fault.Unavailable || fe.Kind == fault.ConnectionLost {
		t.service.Metrics.GetOrCreateCounter("flow_homes_lost_total").Inc()
		t.open = t.open || fe.Verdict != fault.NotRun
		return Response{}, &lostError{cause: fe}
	}
	return Response{}, fe
}

func (t *relay) here(ctx context.Context) (Response, error) {
	wait, cancel := t.limit(ctx)
	defer cancel()
	t.request.Resume = t.text.String()
	t.request.ResumeTokens = t.tokens
	return t.service.serveHere(wait, t.request, t.pass)
}

// limit ends the wait some time after the deadline, so that the home's own
// verdict comes first.
func (t *relay) limit(ctx context.Context) (context.Context, context.CancelFunc) {
	wait := t.request.Request.Deadline.Sub(t.service.Clock.Now()) + verdictGrace
	return context.WithTimeout(ctx, wait)
}

func (t *relay) receive(data json.RawMessage) {
	var c Chunk
	if json.Unmarshal(data, &c) == nil {
		t.pass(c)
	}
}

// pass hands on the chunks that the caller does not have yet.
func (t *relay) pass(c Chunk) {
	if c.Position != t.tokens {
		return
	}
	t.tokens++
	t.text.WriteString(c.Text)
	if t.onChunk != nil {
		t.onChunk(c)
	}
}

// nilOrError avoids an error that holds a nil pointer.
func nilOrError(fe *fault.Error) error {
	if fe == nil {
		return nil
	}
	return fe
}
