package relay

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotworks/place"
	"bergamotworks/script"
	"bergamotworks/wire"
)

// noticeCase is the header of a response that is received at noticeTime.
type noticeCase struct {
	Status     int    `json:"status"`
	Leaving    string `json:"leaving"`
	RetryAfter string `json:"retry_after"`

	WantLeaving   bool  `json:"want_leaving"`
	WantWaitMS    int64 `json:"want_wait_ms"`
	WantMalformed bool  `json:"want_malformed"`
}

// noticeTime is Tue, 15 Nov 1994 08:12:31 GMT.
var noticeTime = time.Unix(784887151, 0)

func TestNotice(t *testing.T) {
	script.Run(t, "testdata/notice/*.json", func(t *testing.T, data map[string]noticeCase) {
		for name, c := range data {
			headers := wire.Headers{{Name: "x-leaving", Value: c.Leaving}, {Name: "retry-after", Value: c.RetryAfter}}
			got, err := DefaultHeaderNames().notice(noticeTime, c.Status, headers)
			want := place.Notice{Leaving: c.WantLeaving, Wait: time.Duration(c.WantWaitMS) * time.Millisecond}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("%s: notice (-want +got):\n%s", name, diff)
			}
			if diff := cmp.Diff(c.WantMalformed, err != nil); diff != "" {
				t.Errorf("%s: malformed (-want +got):\n%s", name, diff)
			}
		}
	})
}
