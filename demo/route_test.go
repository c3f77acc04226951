package demo

import (
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"bergamotworks/emul"
	"bergamotworks/note"
	"bergamotworks/script"
)

// routeCase sends opaque requests to nodes while nodes are killed or stopped,
// or failure domains are drained.
type routeCase struct {
	Nodes int         `json:"nodes"`
	Steps []routeStep `json:"steps"`
	// Released says that all results of stages are released in the end.
	Released bool `json:"freed"`
}

type routeStep struct {
	Send  bool     `json:"ask"` // Not read; marks steps that send, for readers of the data.
	Do    string   `json:"do"`  // "kill", "stop" or "take_out"; any other sends a request.
	Node  int      `json:"node"`
	Avoid []string `json:"avoid"` // Targets that must not respond.
	// Domain is the failure domain to drain.
	Domain string `json:"domain"`
}

func TestRoute(t *testing.T) {
	script.Run(t, "testdata/route/*.json", testRoute)
}

func testRoute(t *testing.T, v routeCase) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	targets, first, err := StartStandIns("toits_unis")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = targets.Close() }() // The stand-ins have nothing to flush.
	s := &System{Note: first, Size: v.Nodes, Log: log}
	defer func() {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	}()
	if err := s.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	for i, e := range v.Steps {
		if err := e.perform(t, s); err != nil {
			t.Fatalf("step %d: %v", i, err)
		}
	}
	if v.Released {
		awaitReleased(t, targets)
	}
}

func (e routeStep) perform(t *testing.T, s *System) error {
	switch e.Do {
	case "kill":
		return s.KillNode(e.Node)
	case "stop":
		return s.StopNode(e.Node)
	case "take_out":
		domain := s.Config().Sections.Domains[e.Domain]
		domain.State = note.OutOfService
		n := note.Note{ID: "out", BaseRevision: 1, Changed: note.Sections{Domains: map[string]note.FailureDomain{e.Domain: domain}}}
		if err := s.Submit(t.Context(), n); err != nil {
			return err
		}
		for i := range s.Size {
			for s.Node(i).Configuration().Current().Revision < 2 {
				time.Sleep(time.Millisecond)
			}
		}
		return nil
	}
	response, seal, err := sendRouteRequest(s.Node(e.Node).RoutesAddress(), firstAccount(s.Config()), "tile it")
	if err != nil {
		return err
	}
	want := emul.OpaqueResponse{Path: RoutePrefix + "tiles", Account: firstAccount(s.Config()), Results: routePieces, Body: "tile it"}
	if diff := cmp.Diff(want, response); diff != "" {
		t.Errorf("response (-want +got):\n%s", diff)
	}
	if name, _, _ := strings.Cut(seal, "/"); slices.Contains(e.Avoid, name) {
		t.Errorf("%s responded although its failure domain is drained", name)
	}
	return nil
}

// awaitReleased waits until no target holds a result. The timeout of the test
// bounds the wait.
func awaitReleased(t *testing.T, targets *emul.Fleet) {
	t.Helper()
	for _, e := range targets.OfService(tileService) {
		for e.Results() > 0 {
			time.Sleep(time.Millisecond)
		}
	}
}
