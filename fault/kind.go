package fault

// Kind says why a request was refused or failed.
type Kind int

// The kinds of error.
const (
	// Internal is an error that has no more exact kind.
	Internal Kind = iota
	// Invalid means that a field of the request is missing or wrong.
	Invalid
	// NotFound means that the named object does not exist.
	NotFound
	// Unauthorized means that the client account is unknown.
	Unauthorized
	// TooLarge means that a body is longer than the limit.
	TooLarge
	// Busy means that no capacity is free; the caller may retry later.
	Busy
	// DeadlineExceeded means that the deadline has passed or cannot be met.
	DeadlineExceeded
	// Unavailable means that a part needed for the request cannot be reached.
	Unavailable
	// Canceled means that the caller no longer waits.
	Canceled
	// Conflict means that another writer came first.
	Conflict
	// Quarantined means that the request has crashed its targets.
	Quarantined
	// Expired means that the idempotency key is older than the retention.
	Expired
	// Duplicate means that the request is already recorded.
	Duplicate
	// TargetFailed means that a target answered with an error.
	TargetFailed
	// ConnectionLost means that a connection failed or went silent.
	ConnectionLost
)
