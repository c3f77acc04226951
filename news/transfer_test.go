package news

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"bergamotworks/ports"
	"bergamotworks/script"
	"bergamotworks/site"
	"bergamotworks/wire"
)

// transferStep is a directory that a node has read and then sends to another one.
type transferStep struct {
	Position site.Position `json:"position"`
	Targets  []string      `json:"targets"`
}

// TestSentDirectoryIsTheCurrentOne guards against a directory of an earlier epoch of the
// store that is sent because the current one has its revision.
func TestSentDirectoryIsTheCurrentOne(t *testing.T) {
	script.Run(t, "testdata/transfers/*.json", testTransfers)
}

func testTransfers(t *testing.T, steps []transferStep) {
	s := &Service{Self: "a", Clock: ports.SystemClock{}}
	for i, p := range steps {
		d := site.Directory{Position: p.Position}
		for _, id := range p.Targets {
			d.Targets = append(d.Targets, site.Target{ID: id, Address: id})
		}
		s.state.Apply(Snapshot{Directory: site.NewDirectory(d)})
		reply, err := s.HandleFetchDirectory(t.Context(), directoryRequest{})
		if err != nil {
			t.Fatal(err)
		}
		var sent site.Directory
		if err := wire.Decompress(reply.Data, &sent); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(p.Targets, ids(sent)); diff != "" {
			t.Errorf("step %d: targets sent (-want +got):\n%s", i, diff)
		}
	}
}
