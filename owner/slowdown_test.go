package owner

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotworks/script"
)

// slowdownCase is a stream of tokens and the numbers of the tokens at which a
// slowdown is detected.
type slowdownCase struct {
	Gaps []struct {
		Count int `json:"count"`
		MS    int `json:"ms"`
	} `json:"gaps_ms"`
	SlowAt []int `json:"slow_at"`
}

func TestSlowdownDetector(t *testing.T) {
	script.Run(t, "testdata/pace/*.json", func(t *testing.T, data map[string]slowdownCase) {
		for name, c := range data {
			t.Run(name, func(t *testing.T) {
				var d slowdownDetector
				now := time.Unix(1000, 0)
				var slow []int
				token := 0
				for _, g := range c.Gaps {
					for range g.Count {
						now = now.Add(time.Duration(g.MS) * time.Millisecond)
						token++
						if d.observe(now) {
							slow = append(slow, token)
						}
					}
				}
				if diff := cmp.Diff(c.SlowAt, slow); diff != "" {
					t.Errorf("tokens at which the stream is slow (-want +got):\n%s", diff)
				}
			})
		}
	})
}
