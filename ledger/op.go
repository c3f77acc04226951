package ledger

// Op is an operation on one record.
type Op interface{ subject() Subject }

// Subject identifies a record and the run that operates on it.
type Subject struct {
	// Key identifies the stage call.
	Key Key `json:"key"`
	// Token identifies the run.
	Token string `json:"token"`
	// CreatedMS is the creation time of the idempotency key, in Unix milliseconds.
	CreatedMS int64 `json:"created_ms"`
	// Fingerprint is a hash of the input. It detects a key that is reused with
	// other input.
	Fingerprint string `json:"fingerprint"`
}

// Create records a stage call before it is dispatched.
type Create struct{ Subject }

// Complete records the result of a dispatched call.
type Complete struct {
	Subject
	Result []byte
}

// Withdraw revokes the token of a call that was not and will not be
// dispatched.
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

// Outcome is the result of deciding on an operation.
type Outcome int

// Outcomes. The line comments are the texts in responses.
const (
	// Absent means that there is no such record.
	Absent Outcome = iota // absent
	// Created means that the record has the token of the requesting run, which
	// alone may dispatch the call, once.
	Created // created
	// Existing means that another run holds the record.
	Existing // existing
	// FingerprintMismatch means that the record was created for other input.
	FingerprintMismatch // reused
	// TooOld means that records of this age are past the retention period.
	TooOld // too_old
	// Revoked means that the token was revoked by a withdrawal.
	Revoked // revoked
	// Stored means that the result is recorded.
	Stored // stored
	// WithdrawalConfirmed means that the call can no longer be dispatched under
	// this token.
	WithdrawalConfirmed // removed
	// Superseded means that the record belongs to another run.
	Superseded // superseded
	// AlreadyCompleted means that the call has a result and cannot be withdrawn.
	AlreadyCompleted // finished
)

// Decision is the outcome of an operation and the record that it is based on.
type Decision struct {
	// Outcome says how the operation was decided.
	Outcome Outcome `json:"outcome"`
	// Record is the existing record, if there is one.
	Record Record `json:"record"`
	// PartKey is the store key of the sealed part that holds the record's
	// result. It is empty if Record includes the result or has none.
	PartKey string `json:"part_key,omitempty"`
}
