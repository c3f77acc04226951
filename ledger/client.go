package ledger

import (
	"context"
	"time"

	"bergamotworks/fault"
	"bergamotworks/ports"
)

// maxResultBytes is the maximum size of a recorded result.
const maxResultBytes = 900 << 10

// Request describes a stage call that is to be recorded before its dispatch.
type Request struct {
	// Key identifies the call.
	Key Key
	// CreatedAt is the creation time of the idempotency key; see [KeyTime].
	CreatedAt time.Time
	// Fingerprint is a hash of the input, at most 64 bytes. It detects a key
	// that is reused with other input.
	Fingerprint string
}

// Claim is the result of [Service.Create] or [Service.Lookup]: the record of a
// call, and whether this run holds it. A run is explained in the package comment.
type Claim struct {
	// Subject identifies the call and the run that holds its record.
	Subject
	// Created is set if this run holds the record. Only this run may dispatch
	// the call, once.
	Created bool
	// State is the state of a record that another run holds: Pending means that
	// the call may have run, Completed that Result is its result.
	State State
	// Result is the recorded result.
	Result []byte
}

// Create records a stage call and reports whether the caller may dispatch it.
// While the store is unreachable it waits until the context is done, and then
// fails with fault.DeadlineExceeded.
//
// After an error the call must not be dispatched. The verdict of the error is
// NotRun if the call has not run and no record of it remains. Other errors are
// fault.Invalid if the request is not valid, fault.Conflict if the key was used
// with other input, fault.Expired if the key is not newer than the retention
// floor, fault.Busy if too many operations wait, and fault.Unavailable if the
// ledger is closed. For a completed call whose result cannot be read, the error is that of
// [Service.Lookup].
func (s *Service) Create(ctx context.Context, r Request) (Claim, error) {
	if err := s.check(r); err != nil {
		return Claim{}, err
	}
	subject := Subject{
		Key: r.Key, Token: s.newToken(),
		CreatedMS: r.CreatedAt.UnixMilli(), Fingerprint: r.Fingerprint,
	}
	decision, err := s.execute(ctx, Create{subject})
	if err != nil {
		fe := fault.From(err)
		if fe.Verdict != fault.NotRun {
			s.retrier.add(Withdraw{subject})
		}
		return Claim{}, fe
	}
	return s.claim(ctx, subject, decision)
}

func (s *Service) check(r Request) error {
	if err := r.Key.check(); err != nil {
		return err
	}
	if len(r.Fingerprint) > maxFingerprintBytes {
		return fault.InvalidField("fingerprint", "must have at most %d bytes", maxFingerprintBytes)
	}
	if r.CreatedAt.UnixMilli() <= 0 {
		return fault.InvalidField("idempotency_key", "has no creation time")
	}
	skew := time.Duration(s.Limits().ClockSkewMS) * time.Millisecond
	if r.CreatedAt.After(s.Clock.Now().Add(skew)) {
		return fault.InvalidField("idempotency_key", "its creation time is in the future")
	}
	return nil
}

func (s *Service) claim(ctx context.Context, own Subject, d Decision) (Claim, error) {
	switch d.Outcome {
	case Created:
		return Claim{Subject: own, Created: true}, nil
	case Existing:
		return s.existingClaim(ctx, d)
	case FingerprintMismatch:
		return Claim{}, fault.New(fault.Conflict, verdictOf(d.Record.State),
			"idempotency key reused with other input").WithField("idempotency_key")
	case TooOld:
		return Claim{}, fault.New(fault.Expired, fault.MayHaveRun,
			"the idempotency key is older than the retention period")
	}
	return Claim{}, fault.New(fault.Internal, fault.MayHaveRun, "unexpected outcome %s", d.Outcome)
}

func verdictOf(state State) fault.Verdict {
	if state == Completed {
		return fault.Ran
	}
	return fault.MayHaveRun
}

// existingClaim returns the claim for the record of another run, with its whole
// result.
func (s *Service) existingClaim(ctx context.Context, d Decision) (Claim, error) {
	r := d.Record
	claim := Claim{
		Subject: Subject{Key: r.Key, Token: r.Token, CreatedMS: r.CreatedMS, Fingerprint: r.Fingerprint},
		State:   r.State,
	}
	if r.State != Completed {
		return claim, nil
	}
	result, err := s.readResult(ctx, d)
	claim.Result = result
	return claim, err
}

// Complete records the result of a call that was dispatched under the claim.
// The error is fault.Conflict if the record belongs to another run or was
// withdrawn, or if the key is past the retention period, and fault.TooLarge if the
// result has more than maxResultBytes; its verdict is always Ran. An operation that
// fails without a decision is retried in the background.
func (s *Service) Complete(ctx context.Context, claim Claim, result []byte) error {
	if len(result) > maxResultBytes {
		return fault.New(fault.TooLarge, fault.Ran, "a result of %d bytes is too large to record", len(result))
	}
	op := Complete{Subject: claim.Subject, Result: result}
	decision, err := s.execute(ctx, op)
	if err != nil {
		s.retrier.add(op)
		return fault.From(err).WithVerdict(fault.Ran)
	}
	if decision.Outcome != Stored {
		return fault.New(fault.Conflict, fault.Ran, "result not recorded: %s", decision.Outcome)
	}
	return nil
}

// Withdraw withdraws the record of a call that was not dispatched and never will
// be dispatched under this claim. Only after Withdraw has returned nil may the
// call be reported as not run. The error is fault.Conflict with the verdict Ran if
// the result of this run is recorded already. An operation that fails without a
// decision is retried in the background.
func (s *Service) Withdraw(ctx context.Context, claim Claim) error {
	op := Withdraw{claim.Subject}
	decision, err := s.execute(ctx, op)
	if err != nil {
		s.retrier.add(op)
		return fault.From(err).WithVerdict(fault.MayHaveRun)
	}
	if decision.Outcome != WithdrawalConfirmed {
		return fault.New(fault.Conflict, fault.Ran, "record not withdrawn: %s", decision.Outcome)
	}
	return nil
}

// Lookup returns the record of a call. A record that is not completed may be
// stale by up to maxStaleness, or for as long as the store cannot be read. The error
// is fault.NotFound if there is no record or if it was withdrawn. If the record is
// completed but its result cannot be read, the error has the verdict Ran and is
// fault.Expired if retention has dropped the result, fault.Unavailable if the store
// cannot be read, and fault.Internal if the stored value cannot be decoded.
func (s *Service) Lookup(ctx context.Context, key Key) (Claim, error) {
	if err := key.check(); err != nil {
		return Claim{}, err
	}
	decision, err := s.execute(ctx, Lookup{Key: key})
	if err != nil {
		return Claim{}, fault.From(err).WithVerdict(fault.MayHaveRun)
	}
	if decision.Outcome == Absent {
		return Claim{}, fault.New(fault.NotFound, fault.MayHaveRun, "no record is kept under this key")
	}
	if decision.Record.State == Withdrawn {
		return Claim{}, fault.New(fault.NotFound, fault.MayHaveRun, "the record was withdrawn by %s", decision.Record.Token)
	}
	return s.existingClaim(ctx, decision)
}

// readResult returns the result of a record from memory or from the store.
func (s *Service) readResult(ctx context.Context, d Decision) ([]byte, error) {
	switch {
	case d.Record.ResultKey != "":
		return s.readValue(ctx, d.Record.ResultKey)
	case d.PartKey == "":
		return d.Record.Result, nil
	}
	value, err := s.readValue(ctx, d.PartKey)
	if err != nil {
		return nil, err
	}
	records, err := decodePart(value)
	if err != nil {
		return nil, fault.New(fault.Internal, fault.Ran, "decode a journal part: %v", err)
	}
	for i := len(records) - 1; i >= 0; i-- {
		if records[i].Key == d.Record.Key && records[i].State == Completed {
			return records[i].Result, nil
		}
	}
	return nil, resultDroppedError()
}

func (s *Service) readValue(ctx context.Context, key string) ([]byte, error) {
	d := s.drivers[0]
	found, err := d.read(ctx, ports.RangeRequest{Key: key})
	if err != nil {
		return nil, fault.New(fault.Unavailable, fault.Ran, "read a recorded result: %v", err)
	}
	if len(found.Entries) == 0 {
		return nil, resultDroppedError()
	}
	return found.Entries[0].Value, nil
}

// resultDroppedError returns the error for a result that retention has dropped.
func resultDroppedError() *fault.Error {
	return fault.New(fault.Expired, fault.Ran, "the result is no longer kept")
}
