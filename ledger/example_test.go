package ledger_test

import (
	"fmt"

	"bergamotworks/ledger"
)

func ExampleKeyTime() {
	show := func(key, created string) {
		at, err := ledger.KeyTime(key, created)
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Println(at.UTC().Format("2006-01-02T15:04:05.000Z"))
	}
	show("01a23f56-29c5-79a9-8438-42eace69e47c", "")
	show("order-17", "2026-12-04T04:35:41.125Z")
	show("order-17", "1796358941125")
	show("order-17", "")
	show("7b4c3b0e-9d5c-4f0e-8f8e-2f6f3c1c9a10", "")
	show("order-17", "yesterday")
	// Output:
	// 2026-12-04T04:35:41.125Z
	// 2026-12-04T04:35:41.125Z
	// 2026-12-04T04:35:41.125Z
	// invalid: field idempotency_key: must be a UUID of version 7, or come with its creation time (not_run)
	// invalid: field idempotency_key: must be a UUID of version 7, or come with its creation time (not_run)
	// invalid: field idempotency_key_created: must be a time in RFC 3339 or in Unix milliseconds (not_run)
}
