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

// safety names the properties that hold whatever the machine's speed.
var safety = map[string]bool{
	"double runs of non-idempotent stages":               true,
	"attempts sent twice":                                true,
	"false not run":                                      true,
	"wrong, incomplete or crossed answers":               true,
	"operator races without exactly one winner in force": true,
}

// faultScript is a short experiment with the number of nodes.
type faultScript struct {
	Nodes int          `json:"nodes"`
	Rate  float64      `json:"rate"` // Capacity in requests per second.
	Trial trial.Script `json:"trial"`
}

// startLimit bounds the wait for the nodes to start; it is no measure of speed.
const startLimit = 5 * time.Minute

// TestSafety runs short experiments over real sockets and checks what the
// stand-ins counted.
func TestSafety(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	script.Run(t, "testdata/*.json", func(t *testing.T, data faultScript) {
		t.Parallel()
		result, err := trial.Run(t.Context(), data.Trial, trial.Options{
			Start: Starter(data.Nodes, startLimit, log), Policy: "owned", MaxRate: data.Rate,
			Network: ports.SystemNetwork{}, Clock: ports.SystemClock{},
		})
		if err != nil {
			t.Fatal(err)
		}
		var broken []trial.Property
		checked := 0
		for _, p := range result.Properties {
			if !safety[p.Name] {
				continue
			}
			checked++
			if !p.Pass {
				broken = append(broken, p)
			}
		}
		if diff := cmp.Diff([]trial.Property(nil), broken); diff != "" {
			t.Errorf("broken properties (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff([]string(nil), result.Errors); diff != "" {
			t.Errorf("events (-want +got):\n%s", diff)
		}
		if checked < 4 || result.Total.Requests == 0 {
			t.Errorf("%d properties checked over %d requests", checked, result.Total.Requests)
		}
	})
}
