package trial

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"bergamotworks/note"
	"bergamotworks/script"
)

// capacityCase is a shipped deployment with weights of its pipelines and the
// expected bottleneck.
type capacityCase struct {
	Deployment string             `json:"deployment"`
	Mix        map[string]float64 `json:"mix"`
	Limit      float64            `json:"limit"` // Passed to limitCapacity.
	Service    string             `json:"service"`
	Slots      float64            `json:"slots"` // Concurrent calls of all targets of the service.
	Rate       float64            `json:"rate"`  // Requests per second that the service can handle.
}

func TestBottleneck(t *testing.T) {
	script.Run(t, "testdata/capacity/*.json", func(t *testing.T, v capacityCase) {
		shipped, err := note.Shipped(v.Deployment)
		if err != nil {
			t.Fatal(err)
		}
		config := note.Config{Sections: shipped.Added}
		mix := Script{Mix: v.Mix}.pipelineShares(config)
		b := findBottleneck(limitCapacity(config, mix, v.Limit), mix)
		got := capacityCase{
			Deployment: v.Deployment, Mix: v.Mix, Limit: v.Limit, Service: b.service, Slots: b.slots, Rate: b.rate,
		}
		if diff := cmp.Diff(v, got, cmpopts.EquateApprox(0, 0.001)); diff != "" {
			t.Errorf("bottleneck (-want +got):\n%s", diff)
		}
	})
}
