package conf

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestFetchWithAndWithoutCompression checks that a VM of an earlier version, which
// accepts no compressed parts, gets the same configuration.
func TestFetchWithAndWithoutCompression(t *testing.T) {
	parts := map[string]part{}
	for name, content := range map[string]string{"classes": `{"all":{"priority":50}}`, "domains": `{"north":{"region":"here"}}`} {
		p, err := newPart(name, json.RawMessage(content))
		if err != nil {
			t.Fatal(err)
		}
		parts[name] = p
	}
	var s Service
	s.current.Store(assemble(7, "n7", parts))
	for _, accept := range []bool{false, true} {
		response, err := s.HandleFetch(t.Context(), FetchRequest{Revision: 3, AcceptCompressed: accept})
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(accept, response.CompressedParts != nil && response.Parts == nil); diff != "" {
			t.Errorf("compressed (-want +got):\n%s", diff)
		}
		i, err := response.apply(nil)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(s.current.Load().checksum, i.checksum); diff != "" {
			t.Errorf("checksum (-want +got):\n%s", diff)
		}
	}
}
