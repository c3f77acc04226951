package cmds

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bergamotworks/admin"
	"bergamotworks/script"
)

// heldCase is the states of nodes and what the subcommand status prints of the targets
// that they hold.
type heldCase struct {
	States []json.RawMessage `json:"states"`
	Want   string            `json:"want"`
}

func TestStatusPrintsHeldTargets(t *testing.T) {
	script.Run(t, "testdata/held/*.json", func(t *testing.T, data map[string]heldCase) {
		for name, c := range data {
			t.Run(name, func(t *testing.T) { testHeld(t, c) })
		}
	})
}

func testHeld(t *testing.T, c heldCase) {
	var states []admin.Status
	for _, text := range c.States {
		var s admin.Status
		if err := json.Unmarshal(text, &s); err != nil {
			t.Fatal(err)
		}
		states = append(states, s)
	}
	var out bytes.Buffer
	printHeldTargets(&out, states)
	if diff := cmp.Diff(c.Want, out.String()); diff != "" {
		t.Errorf("output (-want +got):\n%s", diff)
	}
}
