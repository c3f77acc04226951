package news

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/sirupsen/logrus"

	"bergamotworks/ports"
	"bergamotworks/script"
	"bergamotworks/site"
)

// rolloutsStep is a read of the store by one of two nodes, or a fetch of one from the other.
type rolloutsStep struct {
	// Node is the number of the node, from 0, that reads or, with Fetch, that fetches.
	Node     int            `json:"node"`
	Fetch    bool           `json:"fetch"`
	Revision int64          `json:"revision"`
	Rollouts []site.Rollout `json:"rollouts"`
	Want     []string       `json:"want"` // What the node then has: service, order, state.
	Sent     bool           `json:"sent"` // The other node's response has the field for rollouts.
}

// TestRollouts guards against an order or state that goes back to an older one, an order
// that stays with a node after it was removed, and messages about rollouts where there are
// none.
func TestRollouts(t *testing.T) {
	script.Run(t, "testdata/rollouts/*.json", testRollouts)
}

func testRollouts(t *testing.T, steps []rolloutsStep) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	var nodes [2]*Service
	for i := range nodes {
		nodes[i] = &Service{Clock: ports.SystemClock{}, Log: logrus.NewEntry(log), Metrics: metrics.NewSet()}
		nodes[i].state.Apply(Snapshot{Config: site.NewConfig(site.Config{Revision: 3})})
	}
	for i, s := range steps {
		n, other := nodes[s.Node], nodes[1-s.Node]
		sent := false
		if s.Fetch {
			u, err := other.HandleFetch(t.Context(), n.state.revisions())
			if err != nil {
				t.Fatal(err)
			}
			data, err := json.Marshal(u)
			if err != nil {
				t.Fatal(err)
			}
			sent = strings.Contains(string(data), `"rollouts":`)
			n.Peers = earlierVersion(data)
			if _, err := n.fetch(t.Context(), "other"); err != nil {
				t.Fatal(err)
			}
		} else {
			n.state.Apply(Snapshot{Rollouts: &Rollouts{Rollouts: s.Rollouts, Position: site.Position{Revision: s.Revision}}})
		}
		var got []string
		for _, r := range n.Rollouts() {
			got = append(got, fmt.Sprintf("%s %d %s", r.Service, r.Revision, r.State))
		}
		if diff := cmp.Diff(s.Want, got, cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("step %d: rollouts (-want +got):\n%s", i, diff)
		}
		if diff := cmp.Diff(s.Sent, sent); diff != "" {
			t.Errorf("step %d: rollouts were sent (-want +got):\n%s", i, diff)
		}
	}
}
