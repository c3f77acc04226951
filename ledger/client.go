package ledger

import (
	"context"
	"time"

	"bergamotworks/fault"
	"bergamotworks/ports"
)

// maxResultBytes bounds a recorded result.
const maxResultBytes = 900 << 10

// Request asks for the right to dispatch a stage call.
type Request struct {
	// Key names the call.
	Key Key
	// CreatedAt is the creation time of the idempotency key; see [KeyTime].
	CreatedAt time.Time
	// Fingerprint tells whether a repeat has the same input, up to 64 bytes.
	Fingerprint string
}

// Claim is the answer to a [Request].
type Claim struct {
	// Subject names the call and the run that holds its record.
	Subject
	// Created says that this run holds the record: it alone may dispatch the
	// call, once.
	Created bool
	// State is the record's state, if another run holds it: Pending means that
	// the call may have run, Completed that Result is its result.
	State State
	// Result is the recorded result.
	Result []byte
}

// Create records a stage call and tells whether the caller may dispatch it.
// It waits until the context ends while the store is out of reach.
//
// After an error the call must not be dispatched. The error's verdict is
// NotRun if the call has not run and no record of it is left.
func (s *Service) Create(ctx context.Context, r Request) (Claim, error) {
	if err := s.check(r); err != nil {
		return Claim{}, err
	}
	subject := Subject{
		Key: r.Key, Token: s.newToken(),
		CreatedMS: r.CreatedAt.UnixMilli(), Fingerprint: r.Fingerprint,
	}
	answer, err := s.ask(ctx, Create{subject})
	if err != nil {
		fe := fault.From(err)
		if fe.Verdict != fault.NotRun {
			s.repeater.add(Withdraw{subject})
		}
		return Claim{}, fe
	}
	return s.claim(ctx, subject, answer)
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

func (s *Service) claim(ctx context.Context, own Subject, a Decision) (Claim, error) {
	switch a.Outcome {
	case Created:
		return Claim{Subject: own, Created: true}, nil
	case Existing:
		return s.existing(ctx, a)
	case FingerprintMismatch:
		return Claim{}, fault.New(fault.Conflict, verdictOf(a.Record.State),
			"idempotency key reused with other input").WithField("idempotency_key")
	case TooOld:
		return Claim{}, fault.New(fault.Expired, fault.MayHaveRun,
			"the idempotency key is older than the retention period")
	}
	return Claim{}, fault.New(fault.Internal, fault.MayHaveRun, "unexpected outcome %s", a.Outcome)
}

func verdictOf(state State) fault.Verdict {
	if state == Completed {
		return fault.Ran
	}
	return fault.MayHaveRun
}

// existing returns the record of another run with its whole result.
func (s *Service) existing(ctx context.Context, a Decision) (Claim, error) {
	r := a.Record
	claim := Claim{
		Subject: Subject{Key: r.Key, Token: r.Token, CreatedMS: r.CreatedMS, Fingerprint: r.Fingerprint},
		State:   r.State,
	}
	if r.State != Completed {
		return claim, nil
	}
	result, err := s.result(ctx, a)
	claim.Result = result
	return claim, err
}

// Complete records the result of a call that was dispatched under the claim.
// After an error it is sent again in the background.
func (s *Service) Complete(ctx context.Context, claim Claim, result []byte) error {
	if len(result) > maxResultBytes {
		return fault.New(fault.TooLarge, fault.Ran, "a result of %d bytes is too large to record", len(result))
	}
	op := Complete{Subject: claim.Subject, Result: result}
	answer, err := s.ask(ctx, op)
	if err != nil {
		s.repeater.add(op)
		return fault.From(err).WithVerdict(fault.Ran)
	}
	if answer.Outcome != Stored {
		return fault.New(fault.Conflict, fault.Ran, "result not recorded: %s", answer.Outcome)
	}
	return nil
}

// Withdraw removes the record of a call that was not dispatched and never
// will be under this claim. Only after it has returned nil may the call be
// reported as not run. After an error it is tried again in the background.
func (s *Service) Withdraw(ctx context.Context, claim Claim) error {
	op := Withdraw{claim.Subject}
	answer, err := s.ask(ctx, op)
	if err != nil {
		s.repeater.add(op)
		return fault.From(err).WithVerdict(fault.MayHaveRun)
	}
	if answer.Outcome != WithdrawalConfirmed {
		return fault.New(fault.Conflict, fault.Ran, "record not withdrawn: %s", answer.Outcome)
	}
	return nil
}

// Lookup returns the record of a call, as it was within the last moments. The
// error is NotFound if there is none, or if it was withdrawn.
func (s *Service) Lookup(ctx context.Context, key Key) (Claim, error) {
	if err := key.check(); err != nil {
		return Claim{}, err
	}
	answer, err := s.ask(ctx, Lookup{Key: key})
	if err != nil {
		return Claim{}, fault.From(err).WithVerdict(fault.MayHaveRun)
	}
	if answer.Outcome == Absent {
		return Claim{}, fault.New(fault.NotFound, fault.MayHaveRun, "no record is kept under this key")
	}
	if answer.Record.State == Withdrawn {
		return Claim{}, fault.New(fault.NotFound, fault.MayHaveRun, "the record was withdrawn by %s", answer.Record.Token)
	}
	return s.existing(ctx, answer)
}

// result reads a result from where it is kept.
func (s *Service) result(ctx context.Context, a Decision) ([]byte, error) {
	switch {
	case a.Record.ResultKey != "":
		return s.readValue(ctx, a.Record.ResultKey)
	case a.PartKey == "":
		return a.Record.Result, nil
	}
	value, err := s.readValue(ctx, a.PartKey)
	if err != nil {
		return nil, err
	}
	records, err := decodePart(value)
	if err != nil {
		return nil, fault.New(fault.Internal, fault.Ran, "decode a journal part: %v", err)
	}
	for i := len(records) - 1; i >= 0; i-- {
		if records[i].Key == a.Record.Key && records[i].State == Completed {
			return records[i].Result, nil
		}
	}
	return nil, errResultGone()
}

func (s *Service) readValue(ctx context.Context, key string) ([]byte, error) {
	d := s.drivers[0]
	found, err := d.read(ctx, ports.RangeRequest{Key: key})
	if err != nil {
		return nil, fault.New(fault.Unavailable, fault.Ran, "read a recorded result: %v", err)
	}
	if len(found.Entries) == 0 {
		return nil, errResultGone()
	}
	return found.Entries[0].Value, nil
}

func errResultGone() *fault.Error {
	return fault.New(fault.Expired, fault.Ran, "the result is no longer kept")
}
