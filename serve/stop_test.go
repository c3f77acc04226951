package serve

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"bergamotworks/ports"
	"bergamotworks/script"
	"bergamotworks/wire"
)

// stopCase is a planned stop without requests under way.
type stopCase struct {
	BalancerWaitMS int64 `json:"balancer_wait_ms"`
	StopTimeMS     int64 `json:"stop_time_ms"`
	WantMS         int64 `json:"want_ms"` // Time from the signal to the end.
}

// TestStop measures a planned stop in virtual time. Callers' connections are
// open to new requests until the balancer has noticed, counted from the signal.
func TestStop(t *testing.T) {
	script.Run(t, "testdata/stop/*.json", func(t *testing.T, data map[string]stopCase) {
		for name, c := range data {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testStop(t, c) })
			})
		}
	})
}

func testStop(t *testing.T, c stopCase) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := &Node{
		Settings: Settings{
			VM: "vm", Listen: "127.0.0.1:0", ReadyListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", GossipListen: "127.0.0.1:0",
			DrainDelay: time.Duration(c.BalancerWaitMS) * time.Millisecond, ShutdownTimeout: time.Duration(c.StopTimeMS) * time.Millisecond,
		},
		Client: &wire.Client{}, Network: ports.SystemNetwork{}, Clock: ports.SystemClock{}, Random: ports.SystemRandom{},
		Log: logrus.NewEntry(log), Metrics: metrics.NewSet(),
	}
	began := time.Now()
	if err := n.Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(c.WantMS, time.Since(began).Milliseconds()); diff != "" {
		t.Errorf("time of the stop in ms (-want +got):\n%s", diff)
	}
}
