package ledger

// Op is an operation on one record.
type Op interface{ subject() Subject }

// Subject names a record and the run that acts on it.
type Subject struct {
	// Key names the stage call.
	Key Key `json:"key"`
	// Token names the run.
	Token string `json:"token"`
	// CreatedMS is the creation time of the idempotency key, in Unix milliseconds.
	CreatedMS int64 `json:"created_ms"`
	// Fingerprint tells whether a repeat has the same input.
	Fingerprint string `json:"fingerprint"`
}

// Create records a stage call before its dispatch.
type Create struct{ Subject }

// Complete records the result of a dispatched call.
type Complete struct {
	Subject
	Result []byte
}

// Withdraw marks a call that was not and will not be dispatched.
type Withdraw struct{ Subject }

// Lookup reads a record.
type Lookup struct{ Key Key }

func (c Create) subject() Subject   { return c.Subject }
func (c Complete) subject() Subject { return c.Subject }
func (w Withdraw) subject() Subject { return w.Subject }
func (l Lookup) subject() Subject   { return Subject{Key: l.Key} }

func (s Subject) record(state State, nowMS int64) Record {
	return Record{
		Key: s.Key, Token: s.Token, CreatedMS: s.CreatedMS,
		Fingerprint: s.Fingerprint, State: state, RecordedMS: nowMS,
	}
}

// Outcome is the decision on an operation.
type Outcome int

// The outcomes.
const (
	// Absent means that there is no such record.
	Absent Outcome = iota
	// Created means that the record carries the asker's own token: the asker
	// alone may dispatch, once.
	Created
	// Existing means that another run holds the record.
	Existing
	// FingerprintMismatch means that the record was made for another input.
	FingerprintMismatch
	// TooOld means that records of this age are no longer kept.
	TooOld
	// Revoked means that the record was withdrawn under this token.
	Revoked
	// Stored means that the result is recorded.
	Stored
	// WithdrawalConfirmed means that the call can no longer be dispatched under this token.
	WithdrawalConfirmed
	// Superseded means that the record belongs to another run.
	Superseded
	// AlreadyCompleted means that the call has a result and cannot be withdrawn.
	AlreadyCompleted
)

// Decision is the decision on an operation with the record it was made on.
type Decision struct {
	// Outcome is the decision.
	Outcome Outcome `json:"outcome"`
	// Record is the existing record, if there is one.
	Record Record `json:"record"`
	// PartKey is the store key of the sealed part that holds the record's
	// result, if the result is not at hand.
	PartKey string `json:"part_key,omitempty"`
}
