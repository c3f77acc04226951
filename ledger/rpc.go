package ledger

import (
	"context"
	"time"

	"bergamotworks/fault"
)

// Names of the methods that nodes call on each other.
const (
	MethodCreate   = "ledger.create"
	MethodComplete = "ledger.complete"
	MethodWithdraw = "ledger.withdraw"
	MethodLookup   = "ledger.lookup"
)

const (
	// peerTimeout limits one call to the writer of a shard. After it this node
	// writes the journal itself.
	peerTimeout = time.Second
	// peerMargin is the time reserved for the writer's response to arrive.
	peerMargin = 100 * time.Millisecond
	// peerRetryInterval is the delay before the next call to a writer.
	peerRetryInterval = 20 * time.Millisecond
)

// OpRequest is the request to the writer of a shard.
type OpRequest struct {
	Subject
	// Result is the result to record, for [MethodComplete].
	Result []byte `json:"result,omitempty"`
	// WaitMS is the time within which the writer must respond, in milliseconds.
	WaitMS int64 `json:"wait_ms"`
}

// OpResponse is the response of the writer. Its Decision is valid if Fault is nil.
type OpResponse struct {
	Decision Decision `json:"answer"`
	// Fault is the error of the operation, or nil.
	Fault *fault.Error `json:"refusal,omitempty"`
}

// HandleCreate serves [MethodCreate]. Errors are in the response.
func (s *Service) HandleCreate(ctx context.Context, request OpRequest) (OpResponse, error) {
	return s.handle(ctx, request, Create{request.Subject})
}

// HandleComplete serves [MethodComplete]. Errors are in the response.
func (s *Service) HandleComplete(ctx context.Context, request OpRequest) (OpResponse, error) {
	return s.handle(ctx, request, Complete{Subject: request.Subject, Result: request.Result})
}

// HandleWithdraw serves [MethodWithdraw]. Errors are in the response.
func (s *Service) HandleWithdraw(ctx context.Context, request OpRequest) (OpResponse, error) {
	return s.handle(ctx, request, Withdraw{request.Subject})
}

// HandleLookup serves [MethodLookup]. Errors are in the response.
func (s *Service) HandleLookup(ctx context.Context, request OpRequest) (OpResponse, error) {
	return s.handle(ctx, request, Lookup{Key: request.Key})
}

func (s *Service) handle(ctx context.Context, request OpRequest, op Op) (OpResponse, error) {
	timeout := min(time.Duration(request.WaitMS)*time.Millisecond, peerTimeout)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	decision, err := s.executeLocal(ctx, op)
	return OpResponse{Decision: decision, Fault: fault.From(err)}, nil
}

// executeLocal executes an operation on the shard of this node. A node that is
// not the writer reads the head first.
func (s *Service) executeLocal(ctx context.Context, op Op) (Decision, error) {
	if err := s.waitReady(ctx); err != nil {
		return Decision{}, err
	}
	d := s.driver(op)
	_, local := s.writer(d.shard.Index)
	return d.submit(ctx, op, !local)
}

func (s *Service) driver(op Op) *driver {
	return s.drivers[op.subject().Key.Shard(len(s.drivers))]
}

// execute sends an operation to the writer of its shard. If the writer cannot be
// reached, this node writes the journal itself. The verdict of an error is
// NotRun only if no attempt can still take effect.
func (s *Service) execute(ctx context.Context, op Op) (Decision, error) {
	if err := s.waitReady(ctx); err != nil {
		return Decision{}, err
	}
	unknown := false
	for {
		vm, local := s.writer(s.driver(op).shard.Index)
		if local {
			decision, err := s.executeLocal(ctx, op)
			return decision, withUnknownOutcome(err, unknown)
		}
		response, err := s.executeRemote(ctx, vm, op)
		if err == nil && response.Fault == nil {
			return response.Decision, nil
		}
		unknown = unknown || err != nil && fault.VerdictOf(err) != fault.NotRun ||
			err == nil && response.Fault.Verdict != fault.NotRun
		if err != nil || response.Fault.Kind == fault.Unavailable {
			s.Log.WithError(err).WithField("vm", vm).Info("ledger shard writer is unavailable; writing the journal on this node")
			decision, err := s.executeLocal(ctx, op)
			return decision, withUnknownOutcome(err, unknown)
		}
		if response.Fault.Kind == fault.Busy || !s.waitRetry(ctx) {
			return Decision{}, withUnknownOutcome(response.Fault, unknown)
		}
	}
}

// waitRetry waits before the next attempt. It reports false if the context is
// done.
func (s *Service) waitRetry(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-s.Clock.After(peerRetryInterval):
		return true
	}
}

// withUnknownOutcome sets the verdict of an error to MayHaveRun if the outcome of
// an earlier attempt is unknown.
func withUnknownOutcome(err error, unknown bool) error {
	if err == nil {
		return nil
	}
	if unknown {
		return fault.From(err).WithVerdict(fault.MayHaveRun)
	}
	return err
}

func (s *Service) executeRemote(ctx context.Context, vm string, op Op) (OpResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	remaining := time.Until(deadline)
	timeout := max(remaining-peerMargin, remaining/2)
	method, request := requestOf(op)
	request.WaitMS = timeout.Milliseconds()
	var response OpResponse
	err := s.Peers.Call(ctx, vm, method, request, &response)
	return response, err
}

func requestOf(op Op) (string, OpRequest) {
	request := OpRequest{Subject: op.subject()}
	switch o := op.(type) {
	case Create:
		return MethodCreate, request
	case Complete:
		request.Result = o.Result
		return MethodComplete, request
	case Withdraw:
		return MethodWithdraw, request
	}
	return MethodLookup, request
}
