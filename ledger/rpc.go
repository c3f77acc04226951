package ledger

import (
	"context"
	"time"

	"bergamotworks/fault"
)

// Names of the methods between nodes.
const (
	MethodCreate   = "ledger.create"
	MethodComplete = "ledger.complete"
	MethodWithdraw = "ledger.withdraw"
	MethodLookup   = "ledger.lookup"
)

const (
	// peerTimeout bounds one call to a shard's writer. Afterwards this node
	// writes the journal itself.
	peerTimeout = time.Second
	// peerMargin is the time left for the writer's answer to arrive.
	peerMargin = 100 * time.Millisecond
	// peerPause is the wait before a writer is asked again.
	peerPause = 20 * time.Millisecond
)

// OpRequest is the message to a shard's writer.
type OpRequest struct {
	Subject
	// Result is the result to record, for [MethodComplete].
	Result []byte `json:"result,omitempty"`
	// WaitMS is the time within which the writer answers, in milliseconds.
	WaitMS int64 `json:"wait_ms"`
}

// OpResponse is the writer's answer.
type OpResponse struct {
	Decision Decision `json:"answer"`
	// Refusal says why there is no answer; nil if there is one.
	Refusal *fault.Error `json:"refusal,omitempty"`
}

// HandleCreate answers [MethodCreate] of another node.
func (s *Service) HandleCreate(ctx context.Context, ask OpRequest) (OpResponse, error) {
	return s.handle(ctx, ask, Create{ask.Subject})
}

// HandleComplete answers [MethodComplete] of another node.
func (s *Service) HandleComplete(ctx context.Context, ask OpRequest) (OpResponse, error) {
	return s.handle(ctx, ask, Complete{Subject: ask.Subject, Result: ask.Result})
}

// HandleWithdraw answers [MethodWithdraw] of another node.
func (s *Service) HandleWithdraw(ctx context.Context, ask OpRequest) (OpResponse, error) {
	return s.handle(ctx, ask, Withdraw{ask.Subject})
}

// HandleLookup answers [MethodLookup] of another node.
func (s *Service) HandleLookup(ctx context.Context, ask OpRequest) (OpResponse, error) {
	return s.handle(ctx, ask, Lookup{Key: ask.Key})
}

func (s *Service) handle(ctx context.Context, ask OpRequest, op Op) (OpResponse, error) {
	wait := min(time.Duration(ask.WaitMS)*time.Millisecond, peerTimeout)
	ctx, stop := context.WithTimeout(ctx, wait)
	defer stop()
	answer, err := s.askLocal(ctx, op)
	return OpResponse{Decision: answer, Refusal: fault.From(err)}, nil
}

func (s *Service) askLocal(ctx context.Context, op Op) (Decision, error) {
	if err := s.await(ctx); err != nil {
		return Decision{}, err
	}
	d := s.driver(op)
	_, local := s.writer(d.shard.Index)
	return d.submit(ctx, op, !local)
}

func (s *Service) driver(op Op) *driver {
	return s.drivers[op.subject().Key.Shard(len(s.drivers))]
}

// ask brings an operation to the shard's writer. If the writer cannot be
// reached, this node writes the journal itself. An error's verdict is NotRun
// only if no attempt can still take effect.
func (s *Service) ask(ctx context.Context, op Op) (Decision, error) {
	if err := s.await(ctx); err != nil {
		return Decision{}, err
	}
	open := false
	for {
		vm, local := s.writer(s.driver(op).shard.Index)
		if local {
			answer, err := s.askLocal(ctx, op)
			return answer, opened(err, open)
		}
		told, err := s.askPeer(ctx, vm, op)
		if err == nil && told.Refusal == nil {
			return told.Decision, nil
		}
		open = open || err != nil && fault.VerdictOf(err) != fault.NotRun ||
			err == nil && told.Refusal.Verdict != fault.NotRun
		if err != nil || told.Refusal.Kind == fault.Unavailable {
			s.Log.WithError(err).WithField("vm", vm).Info("ledger writer not reached, writing here")
			answer, err := s.askLocal(ctx, op)
			return answer, opened(err, open)
		}
		if told.Refusal.Kind == fault.Busy || !s.pause(ctx) {
			return Decision{}, opened(told.Refusal, open)
		}
	}
}

// pause waits before the next attempt, and reports whether there is time for it.
func (s *Service) pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-s.Clock.After(peerPause):
		return true
	}
}

// opened gives an error the verdict MayHaveRun if an earlier attempt is open.
func opened(err error, open bool) error {
	if err == nil {
		return nil
	}
	if open {
		return fault.From(err).WithVerdict(fault.MayHaveRun)
	}
	return err
}

func (s *Service) askPeer(ctx context.Context, vm string, op Op) (OpResponse, error) {
	ctx, stop := context.WithTimeout(ctx, peerTimeout)
	defer stop()
	deadline, _ := ctx.Deadline()
	left := time.Until(deadline)
	wait := max(left-peerMargin, left/2)
	method, ask := messageOf(op)
	ask.WaitMS = wait.Milliseconds()
	var told OpResponse
	err := s.Peers.Call(ctx, vm, method, ask, &told)
	return told, err
}

func messageOf(op Op) (string, OpRequest) {
	ask := OpRequest{Subject: op.subject()}
	switch o := op.(type) {
	case Create:
		return MethodCreate, ask
	case Complete:
		ask.Result = o.Result
		return MethodComplete, ask
	case Withdraw:
		return MethodWithdraw, ask
	}
	return MethodLookup, ask
}
