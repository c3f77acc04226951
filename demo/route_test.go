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

// routeCase sends opaque requests to nodes while others go.
type routeCase struct {
	Nodes int         `json:"nodes"`
	Steps []routeStep `json:"steps"`
	// Freed says that all results of stages are given up in the end.
	Freed bool `json:"freed"`
}

type routeStep struct {
	Ask   bool     `json:"ask"`
	Do    string   `json:"do"` // Or "kill", "stop" or "take_out".
	Node  int      `json:"node"`
	Avoid []string `json:"avoid"` // Targets that must not answer.
	// Domain is the failure domain that is taken out.
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
	defer func() { _ = targets.Close() }() // The stand-ins hold nothing.
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
	if v.Freed {
		awaitFreed(t, targets)
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
			for s.Node(i).Notes().Current().Revision < 2 {
				time.Sleep(time.Millisecond)
			}
		}
		return nil
	}
	answer, mark, err := askRoute(s.Node(e.Node).RoutesAddress(), firstAccount(s.Config()), "tile it")
	if err != nil {
		return err
	}
	want := emul.OpaqueResponse{Path: RoutePrefix + "tiles", Account: firstAccount(s.Config()), Results: routePieces, Body: "tile it"}
	if diff := cmp.Diff(want, answer); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
	if name, _, _ := strings.Cut(mark, "/"); slices.Contains(e.Avoid, name) {
		t.Errorf("%s answered although its failure domain is out", name)
	}
	return nil
}

// awaitFreed waits until no target holds a result; the test's own limit ends
// the wait.
func awaitFreed(t *testing.T, targets *emul.Fleet) {
	t.Helper()
	for _, e := range targets.OfService(tileService) {
		for e.Results() > 0 {
			time.Sleep(time.Millisecond)
		}
	}
}
