package ledger

import "slices"

// State says how far a recorded stage call has come.
type State int

// The states of a record.
const (
	// Pending means that the call may have been dispatched and has no result.
	Pending State = iota
	// Completed means that the result is recorded.
	Completed
	// Withdrawn means that the call was not dispatched and never will be
	// under this token.
	Withdrawn
)

// Record is the newest state of one stage call. Records are immutable.
type Record struct {
	_ struct{} `cbor:",toarray"`
	// Key names the call.
	Key Key `json:"key"`
	// Token names the one run that may dispatch the call.
	Token string `json:"token"`
	// CreatedMS is the creation time of the idempotency key, in Unix milliseconds.
	CreatedMS int64 `json:"created_ms"`
	// Fingerprint tells whether a repeat has the same input.
	Fingerprint string `json:"fingerprint"`
	// State says how far the call has come.
	State State `json:"state"`
	// RecordedMS is the writer's time of this state, in Unix milliseconds. It
	// informs operators and decides nothing.
	RecordedMS int64 `json:"recorded_ms"`
	// Result is the whole stored answer, unless it is kept elsewhere.
	Result []byte `json:"result,omitempty"`
	// ResultKey is the store key of a result too large to keep in the journal.
	ResultKey string `json:"result_key,omitempty"`
	// Barred holds tokens of other runs that were withdrawn and may not
	// create the record any more, oldest first.
	RevokedTokens []string `json:"barred,omitempty"`
}

// maxBarred bounds the barred tokens of a record. A create that is delayed
// until its token has been forgotten leaves a pending record that nobody
// dispatches.
const maxBarred = 8

// WithState returns a copy in another state.
func (r Record) WithState(state State, recordedMS int64) Record {
	r.State = state
	r.RecordedMS = recordedMS
	return r
}

// WithResult returns a copy that holds a result, or the key it is kept under.
func (r Record) WithResult(result []byte, resultKey string) Record {
	r.Result = result
	r.ResultKey = resultKey
	return r
}

// WithRevokedToken returns a copy in which another token is barred.
func (r Record) WithRevokedToken(token string) Record {
	barred := append(slices.Clone(r.RevokedTokens), token)
	r.RevokedTokens = barred[max(0, len(barred)-maxBarred):]
	return r
}

// Revoked reports whether the record keeps a token from creating it.
func (r Record) Revoked(token string) bool {
	return r.State == Withdrawn && r.Token == token || slices.Contains(r.RevokedTokens, token)
}
