package demo

import (
	"io"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"bergamotworks/ports"
	"bergamotworks/script"
	"bergamotworks/trial"
)

// safetyProperties names the properties that must hold at any speed of the
// machine.
var safetyProperties = map[string]bool{
	"double runs of non-idempotent stages":               true,
	"attempts sent twice":                                true,
	"false not run":                                      true,
	"wrong, incomplete or crossed answers":               true,
	"operator races without exactly one winner in force": true,
}

// safetyCase is a short experiment and the number of its nodes.
type safetyCase struct {
	Nodes int          `json:"nodes"`
	Rate  float64      `json:"rate"` // Capacity in requests per second.
	Trial trial.Script `json:"trial"`
}

// startTimeout bounds the wait for the nodes to start. It is long, so that the
// test does not depend on the speed of the machine.
const startTimeout = 5 * time.Minute

// TestSafety runs short experiments over real sockets and checks the safety
// properties against what the stand-ins counted.
func TestSafety(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	script.Run(t, "testdata/*.json", func(t *testing.T, data safetyCase) {
		t.Parallel()
		result, err := trial.Run(t.Context(), data.Trial, trial.Options{
			Start: Starter(data.Nodes, startTimeout, log), Policy: "owned", MaxRate: data.Rate,
			Network: ports.SystemNetwork{}, Clock: ports.SystemClock{},
		})
		if err != nil {
			t.Fatal(err)
		}
		var broken []trial.Property
		checked := 0
		for _, p := range result.Properties {
			if !safetyProperties[p.Name] {
				continue
			}
			checked++
			if !p.Pass {
				broken = append(broken, p)
			}
		}
		if diff := cmp.Diff([]trial.Property(nil), broken); diff != "" {
			t.Errorf("violated properties (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff([]string(nil), result.Errors); diff != "" {
			t.Errorf("errors of events (-want +got):\n%s", diff)
		}
		if checked < 4 || result.Total.Requests == 0 {
			t.Errorf("%d properties checked over %d requests", checked, result.Total.Requests)
		}
	})
}
