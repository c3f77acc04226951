package ledger

import "slices"

// State is the progress of a recorded stage call.
type State int

// States of a record.
const (
	// Pending means that the call may have been dispatched and has no result.
	Pending State = iota
	// Completed means that the call ran and its result is recorded.
	Completed
	// Withdrawn means that the call was not dispatched and never will be
	// dispatched under this token.
	Withdrawn
)

// Record is one state of a stage call. Records are immutable; a new state is
// appended to the journal as a new record.
type Record struct {
	_ struct{} `cbor:",toarray"`
	// Key identifies the call.
	Key Key `json:"key"`
	// Token identifies the only run that may dispatch the call.
	Token string `json:"token"`
	// CreatedMS is the creation time of the idempotency key, in Unix milliseconds.
	CreatedMS int64 `json:"created_ms"`
	// Fingerprint is a hash of the input. It detects a key that is reused with
	// other input.
	Fingerprint string `json:"fingerprint"`
	// State is the progress of the call.
	State State `json:"state"`
	// RecordedMS is the time of this state by the clock of the node that recorded
	// it, in Unix milliseconds. It is informational and no decision depends on it.
	RecordedMS int64 `json:"recorded_ms"`
	// Result is the whole recorded response. It is empty if the result is
	// stored under ResultKey.
	Result []byte `json:"result,omitempty"`
	// ResultKey is the store key of a result that is too large for the journal.
	ResultKey string `json:"result_key,omitempty"`
	// RevokedTokens holds the tokens of other runs that were withdrawn and may
	// no longer create the record, oldest first.
	RevokedTokens []string `json:"barred,omitempty"`
}

// maxRevokedTokens limits the revoked tokens of a record. A create that is
// delayed until its token has been removed from the list leaves a pending
// record that no run dispatches.
const maxRevokedTokens = 8

// WithState returns a copy with the given state and its time.
func (r Record) WithState(state State, recordedMS int64) Record {
	r.State = state
	r.RecordedMS = recordedMS
	return r
}

// WithResult returns a copy with a result, or with the store key of the result.
func (r Record) WithResult(result []byte, resultKey string) Record {
	r.Result = result
	r.ResultKey = resultKey
	return r
}

// WithRevokedToken returns a copy in which the token is revoked. The oldest
// token is removed if there are more than 8.
func (r Record) WithRevokedToken(token string) Record {
	revoked := append(slices.Clone(r.RevokedTokens), token)
	r.RevokedTokens = revoked[max(0, len(revoked)-maxRevokedTokens):]
	return r
}

// Revoked reports whether the token was revoked, so that it may no longer
// create the record.
func (r Record) Revoked(token string) bool {
	return r.State == Withdrawn && r.Token == token || slices.Contains(r.RevokedTokens, token)
}
