package owner

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotworks/note"
	"bergamotworks/script"
)

// limitCase holds the typical time of a service, the learned timeout of a target
// and the first-byte timeout that follows.
type limitCase struct {
	TypicalMS int64 `json:"typical_ms"`
	LearnedMS int64 `json:"learned_ms"`
	LimitMS   int64 `json:"limit_ms"`
}

func TestFirstByteTimeout(t *testing.T) {
	script.Run(t, "testdata/limits/*.json", func(t *testing.T, cases []limitCase) {
		for _, c := range cases {
			got := c
			learned := time.Duration(c.LearnedMS) * time.Millisecond
			got.LimitMS = firstByteTimeout(note.Service{TypicalMS: c.TypicalMS}, learned).Milliseconds()
			if diff := cmp.Diff(c, got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		}
	})
}
