package owner

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotworks/note"
	"bergamotworks/script"
)

// timeoutCase holds the typical call time of a service, the timeout derived from
// measured times of a target and the expected first-byte timeout.
type timeoutCase struct {
	TypicalMS  int64 `json:"typical_ms"`
	MeasuredMS int64 `json:"learned_ms"`
	TimeoutMS  int64 `json:"limit_ms"`
}

func TestFirstByteTimeout(t *testing.T) {
	script.Run(t, "testdata/limits/*.json", func(t *testing.T, cases []timeoutCase) {
		for _, c := range cases {
			got := c
			measured := time.Duration(c.MeasuredMS) * time.Millisecond
			got.TimeoutMS = firstByteTimeout(note.Service{TypicalMS: c.TypicalMS}, measured).Milliseconds()
			if diff := cmp.Diff(c, got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		}
	})
}
