package fault

// Kind says why a request was rejected or failed.
type Kind int

// Kinds of error.
const (
	// Internal is used for errors without a more specific kind.
	Internal Kind = iota // internal
	// Invalid means that a field of the request is missing or invalid.
	Invalid // invalid
	// NotFound means that the named object does not exist.
	NotFound // not_found
	// Unauthorized means that the client account is unknown.
	Unauthorized // unauthorized
	// TooLarge means that a message body exceeds the limit.
	TooLarge // too_large
	// Busy means that no capacity is free; a retry may succeed later.
	Busy // busy
	// DeadlineExceeded means that the deadline has passed or cannot be met.
	DeadlineExceeded // deadline_exceeded
	// Unavailable means that a component needed for the request is
	// unreachable.
	Unavailable // unavailable
	// Canceled means that the client no longer waits for the response.
	Canceled // canceled
	// Conflict means that another writer changed the value first, or that the
	// receiver is not responsible for the request.
	Conflict // conflict
	// Quarantined means that the request is rejected because it crashed
	// targets.
	Quarantined // condemned
	// Expired means that a stored result that the request refers to, such as
	// that of an idempotency key or of a stage, is no longer retained.
	Expired // expired
	// Duplicate means that the request is already recorded.
	Duplicate // duplicate
	// TargetFailed means that a target returned an error.
	TargetFailed // target_failed
	// ConnectionLost means that a connection failed or timed out without
	// data.
	ConnectionLost // connection_lost
)
