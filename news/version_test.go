package news

import (
	"context"
	"encoding/json"
	"io"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"bergamotworks/ports"
	"bergamotworks/script"
	"bergamotworks/site"
)

// versionCase is a fetch between VMs of two versions, as JSON on the wire.
type versionCase struct {
	Request  json.RawMessage `json:"request"`  // Of a VM of an earlier version.
	Response json.RawMessage `json:"response"` // Of a VM of an earlier version.
	// Sent is the revision of the configuration in the response to Request, and
	// Active the one that is active after Response.
	Sent   int64 `json:"sent"`
	Active int64 `json:"active"`
}

func TestFetchBetweenVersions(t *testing.T) {
	script.Run(t, "testdata/versions/*.json", testVersions)
}

func testVersions(t *testing.T, c versionCase) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &Service{Self: "a", Clock: ports.SystemClock{}, Log: logrus.NewEntry(log), Metrics: metrics.NewSet(), Peers: earlierVersion(c.Response)}
	s.state.Apply(Snapshot{Config: site.NewConfig(site.Config{Revision: 3})})
	var request revisions
	if err := json.Unmarshal(c.Request, &request); err != nil {
		t.Fatal(err)
	}
	u, err := s.HandleFetch(t.Context(), request)
	if err != nil {
		t.Fatal(err)
	}
	sent := int64(0)
	if u.Config != nil {
		sent = u.Config.Revision
	}
	if diff := cmp.Diff(c.Sent, sent); diff != "" {
		t.Errorf("revision sent (-want +got):\n%s", diff)
	}
	if u, err = s.fetch(t.Context(), "b"); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(c.Active, s.Config().Revision); diff != "" {
		t.Errorf("active revision (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(maxAge, u.OperatorAge); diff != "" {
		t.Errorf("age of the operator state (-want +got):\n%s", diff)
	}
}

// earlierVersion is a VM that responds to each call with the same JSON.
type earlierVersion json.RawMessage

func (e earlierVersion) Call(_ context.Context, _, _ string, _, result any) error {
	return json.Unmarshal(e, result)
}
