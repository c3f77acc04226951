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

// stopCase is a planned shutdown without requests in flight.
type stopCase struct {
	DrainDelayMS      int64 `json:"balancer_wait_ms"`
	ShutdownTimeoutMS int64 `json:"stop_time_ms"`
	WantMS            int64 `json:"want_ms"` // Time from the call of Stop to its return.
}

// TestStop measures a planned shutdown in virtual time. Client connections must
// stay open to new requests for the drain delay, which starts with the call of
// Stop and not with the end of the announcement to the other nodes.
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
			DrainDelay: time.Duration(c.DrainDelayMS) * time.Millisecond, ShutdownTimeout: time.Duration(c.ShutdownTimeoutMS) * time.Millisecond,
		},
		Client: &wire.Client{}, Network: ports.SystemNetwork{}, Clock: ports.SystemClock{}, Random: ports.SystemRandom{},
		Log: logrus.NewEntry(log), Metrics: metrics.NewSet(),
	}
	started := time.Now()
	if err := n.Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(c.WantMS, time.Since(started).Milliseconds()); diff != "" {
		t.Errorf("duration of the shutdown in ms (-want +got):\n%s", diff)
	}
}
