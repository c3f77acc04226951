package order

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"bergamotworks/ports"
	"bergamotworks/script"
	"bergamotworks/store"
)

// restoredCase is the sequence of issuers that write the record of one target, the store's
// restore from a copy, and the issuers that write it again.
type restoredCase struct {
	Before []string `json:"before"` // Issuers; the copy is made before the first one.
	After  []string `json:"after"`
	// Claims is whether a claim with the record that was read before the restore succeeds.
	Claims bool `json:"claims"`
}

// TestClaimsOfARestoredStore guards against a claim that replaces the record of another
// issuer, which has the revision of a lost one since the restore of the store.
func TestClaimsOfARestoredStore(t *testing.T) {
	script.Run(t, "testdata/restored/*.json", func(t *testing.T, cases map[string]restoredCase) {
		for name, c := range cases {
			t.Run(name, func(t *testing.T) { testRestored(t, c) })
		}
	})
}

func testRestored(t *testing.T, c restoredCase) {
	memory := &store.Memory{Clock: ports.SystemClock{}}
	held := memory.Snapshot()
	read := writeRecords(t, memory, c.Before)
	memory.Restore(held)
	writeRecords(t, memory, c.After)
	claimed, err := read.replace(t.Context(), memory, Record{Issuer: "late"})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(c.Claims, claimed); diff != "" {
		t.Errorf("claimed (-want +got):\n%s", diff)
	}
}

// writeRecords writes the record of a target for each issuer and returns it as it is read
// in the end.
func writeRecords(t *testing.T, memory *store.Memory, issuers []string) Record {
	t.Helper()
	for _, issuer := range issuers {
		r, err := readRecord(t.Context(), memory, "target")
		if err != nil {
			t.Fatal(err)
		}
		if ok, err := r.replace(t.Context(), memory, Record{Issuer: issuer}); err != nil || !ok {
			t.Fatalf("write of %s: %t, %v", issuer, ok, err)
		}
	}
	r, err := readRecord(t.Context(), memory, "target")
	if err != nil {
		t.Fatal(err)
	}
	return r
}
