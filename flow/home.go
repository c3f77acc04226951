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

// MethodServe is the peer method by which a node forwards a request to its home.
const MethodServe = "flow.serve"

// serveRequest holds the parameters of [MethodServe].
type serveRequest struct {
	Request Request `json:"request"`
	// Resume is the part of the last stage's output that the client has already
	// received, and ResumeTokens is its number of tokens.
	Resume       string `json:"resume,omitempty"`
	ResumeTokens int    `json:"resume_tokens,omitempty"`
}

// serveResponse is the result of [MethodServe]. Fault is nil if the request
// succeeded.
type serveResponse struct {
	Response Response     `json:"answer"`
	Fault    *fault.Error `json:"fault,omitempty"`
}

const (
	maxHomes = 3 // Number of VMs considered after the first home was lost.
	// verdictGrace is the time after the deadline for which the error of the
	// home, which carries its verdict, is awaited. The home returns an error
	// after half of it, so that the error arrives in time.
	verdictGrace = 250 * time.Millisecond
)

// Serve runs a request at its home and returns the whole response. It calls
// onChunk, which may be nil, for each chunk in order before it returns.
func (s *Service) Serve(ctx context.Context, request Request, onChunk func(Chunk)) (Response, error) {
	s.once.Do(s.init)
	if !s.inFlight.TryAdd() {
		return Response{}, errClosed()
	}
	defer s.inFlight.Done()
	f := &forwarder{service: s, request: serveRequest{Request: request}, onChunk: onChunk}
	return f.run(ctx)
}

// HandleServe handles [MethodServe] at the home of a request. An error of the
// request itself is part of the result.
func (s *Service) HandleServe(ctx context.Context, incoming peer.Request) (any, error) {
	s.once.Do(s.init)
	if !s.inFlight.TryAdd() {
		return nil, errClosed()
	}
	defer s.inFlight.Done()
	var request serveRequest
	if err := json.Unmarshal(incoming.Params, &request); err != nil {
		return nil, fault.InvalidField("params", "%s", err)
	}
	var onChunk func(Chunk)
	if request.Request.Stream {
		onChunk = func(c Chunk) { _ = incoming.Send(c) }
	}
	response, err := s.serveLocal(ctx, request, onChunk)
	return serveResponse{Response: response, Fault: fault.From(err)}, nil
}

// errClosed returns the error for requests that arrive after [Service.Close].
func errClosed() *fault.Error {
	return fault.New(fault.Unavailable, fault.NotRun, "the node has stopped")
}

// forwarder forwards a request to its home and returns the response. If the
// home is lost, it tries the next one: idempotent stages may run again, and the
// ledger keeps the others from running twice.
type forwarder struct {
	service    *Service
	request    serveRequest
	onChunk    func(Chunk)
	text       strings.Builder
	tokens     int
	mayHaveRun bool // A home that may have run stages was lost.
}

// run runs the request at its home. The verdict MayHaveRun replaces NotRun in the
// error if a home that may have run stages was lost.
func (f *forwarder) run(ctx context.Context) (Response, error) {
	response, err := f.tryHomes(ctx)
	if err != nil && f.mayHaveRun && fault.VerdictOf(err) == fault.NotRun {
		err = fault.From(err).WithVerdict(fault.MayHaveRun)
	}
	return response, err
}

// tryHomes calls one home after the other until one responds.
func (f *forwarder) tryHomes(ctx context.Context) (Response, error) {
	key := homeKey(f.request.Request.Fingerprint)
	view := f.service.View()
	home, ok := view.Owner(key)
	if !ok {
		return f.serveLocal(ctx)
	}
	response, err := f.callHome(ctx, home)
	if !isHomeLost(err) {
		return response, err
	}
	for _, vm := range f.service.View().Rank(key, maxHomes) {
		if vm.ID == home.ID {
			continue
		}
		response, err = f.callHome(ctx, vm)
		if !isHomeLost(err) {
			return response, err
		}
	}
	return response, err
}

// homeLostError says that a home could not be reached or that its response was
// lost.
type homeLostError struct{ cause *fault.Error }

func (l *homeLostError) Error() string { return l.cause.Error() }
func (l *homeLostError) Unwrap() error { return l.cause }

func isHomeLost(err error) bool {
	_, lost := err.(*homeLostError) //nolint:errorlint // Only callHome makes this error, unwrapped.
	return lost
}

// callHome runs the request at one home. The error is a *[homeLostError] if the
// home could not be reached or its response was lost.
func (f *forwarder) callHome(ctx context.Context, vm member.VM) (Response, error) {
	if vm.ID == f.service.Self {
		return f.serveLocal(ctx)
	}
	callCtx, cancel := f.withTimeout(ctx)
	defer cancel()
	f.request.Resume = f.text.String()
	f.request.ResumeTokens = f.tokens
	var response serveResponse
	err := f.service.Peers.Stream(callCtx, vm.ID, MethodServe, f.request, &response, f.receiveChunk)
	if err == nil {
		return response.Response, nilOrError(response.Fault)
	}
	fe := fault.From(err)
	if fe.Kind == fault.Unavailable || fe.Kind == fault.ConnectionLost {
		f.service.Metrics.GetOrCreateCounter("flow_homes_lost_total").Inc()
		f.mayHaveRun = f.mayHaveRun || fe.Verdict != fault.NotRun
		return Response{}, &homeLostError{cause: fe}
	}
	return Response{}, fe
}

func (f *forwarder) serveLocal(ctx context.Context) (Response, error) {
	callCtx, cancel := f.withTimeout(ctx)
	defer cancel()
	f.request.Resume = f.text.String()
	f.request.ResumeTokens = f.tokens
	return f.service.serveLocal(callCtx, f.request, f.deliver)
}

// withTimeout returns a context that ends verdictGrace after the deadline, so
// that the error of the home arrives first.
func (f *forwarder) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	timeout := f.request.Request.Deadline.Sub(f.service.Clock.Now()) + verdictGrace
	return context.WithTimeout(ctx, timeout)
}

func (f *forwarder) receiveChunk(data json.RawMessage) {
	var c Chunk
	if json.Unmarshal(data, &c) == nil {
		f.deliver(c)
	}
}

// deliver passes a chunk on unless the client already has it.
func (f *forwarder) deliver(c Chunk) {
	if c.Position != f.tokens {
		return
	}
	f.tokens++
	f.text.WriteString(c.Text)
	if f.onChunk != nil {
		f.onChunk(c)
	}
}

// nilOrError returns fe, or a nil interface instead of one that holds a nil
// pointer.
func nilOrError(fe *fault.Error) error {
	if fe == nil {
		return nil
	}
	return fe
}
