package ledger

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"bergamotworks/fault"
)

// Maximum lengths of the fields of a request, in bytes.
const (
	maxAccountBytes     = 128
	maxIDBytes          = 200
	maxStageBytes       = 128
	maxFingerprintBytes = 64
)

// Key identifies one stage call of one client account.
type Key struct {
	_ struct{} `cbor:",toarray"`
	// Account is the client account.
	Account string `json:"account"`
	// ID is the idempotency key that the client sent.
	ID string `json:"id"`
	// Stage is the stage's name.
	Stage string `json:"stage"`
}

// Shard returns the index of the shard that stores the record, in [0, shards).
// Each field is hashed with its length, so that different fields with the same
// concatenation have different hashes.
func (k Key) Shard(shards int) int {
	d := xxhash.New()
	for _, p := range []string{k.Account, k.ID, k.Stage} {
		_, _ = d.WriteString(strconv.Itoa(len(p)))
		_, _ = d.WriteString(":")
		_, _ = d.WriteString(p)
	}
	return int(d.Sum64() % uint64(shards))
}

func (k Key) check() error {
	switch {
	case k.Account == "" || len(k.Account) > maxAccountBytes:
		return fault.InvalidField("account", "must have 1 to %d bytes", maxAccountBytes)
	case k.ID == "" || len(k.ID) > maxIDBytes:
		return fault.InvalidField("idempotency_key", "must have 1 to %d bytes", maxIDBytes)
	case k.Stage == "" || len(k.Stage) > maxStageBytes:
		return fault.InvalidField("stage", "must have 1 to %d bytes", maxStageBytes)
	}
	return nil
}

// KeyTime returns the creation time of an idempotency key: the value of the request
// header Idempotency-Created (RFC 3339 or Unix milliseconds) if it is not empty,
// otherwise the timestamp of a key that is a UUID of version 7. It returns a fault.Invalid error if neither
// is present, because a repeated request whose record was dropped could not be
// distinguished from a new one.
func KeyTime(idempotencyKey, createdHeader string) (time.Time, error) {
	if createdHeader != "" {
		return headerTime(createdHeader)
	}
	id, err := uuid.Parse(idempotencyKey)
	if err != nil || id.Version() != 7 {
		return time.Time{}, fault.InvalidField("idempotency_key",
			"must be a UUID of version 7, or come with its creation time")
	}
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), nil
}

func headerTime(text string) (time.Time, error) {
	if ms, err := strconv.ParseInt(text, 10, 64); err == nil && ms > 0 {
		return time.UnixMilli(ms), nil
	}
	t, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return time.Time{}, fault.InvalidField("idempotency_key_created",
			"must be a time in RFC 3339 or in Unix milliseconds")
	}
	return t, nil
}
