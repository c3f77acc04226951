package chart

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bergamotworks/script"
)

// pageCase is a report and the required content of its page.
type pageCase struct {
	Report Report         `json:"report"`
	Counts map[string]int `json:"counts"` // Number of elements by name.
	Texts  []string       `json:"texts"`  // Must occur in the page.
	Absent []string       `json:"absent"` // Must not occur in the page.
}

func TestPage(t *testing.T) {
	script.Run(t, "testdata/*.json", func(t *testing.T, v pageCase) {
		var page bytes.Buffer
		if err := v.Report.Write(&page); err != nil {
			t.Fatal(err)
		}
		counts := countElements(t, page.String())
		for name := range counts {
			if _, wanted := v.Counts[name]; !wanted {
				delete(counts, name)
			}
		}
		if diff := cmp.Diff(v.Counts, counts); diff != "" {
			t.Errorf("elements (-want +got):\n%s", diff)
		}
		has := func(s string) bool { return strings.Contains(page.String(), s) }
		missing := slices.DeleteFunc(slices.Clone(v.Texts), has)
		if diff := cmp.Diff([]string{}, missing); diff != "" {
			t.Errorf("missing texts (-want +got):\n%s", diff)
		}
		if found := slices.ContainsFunc(v.Absent, has); found {
			t.Errorf("page contains one of %q", v.Absent)
		}
	})
}

// countElements counts the elements of a page by name.
func countElements(t *testing.T, page string) map[string]int {
	t.Helper()
	decoder := xml.NewDecoder(strings.NewReader(page))
	decoder.Strict = false
	decoder.AutoClose = xml.HTMLAutoClose
	decoder.Entity = xml.HTMLEntity
	counts := make(map[string]int)
	for {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			return counts
		}
		if err != nil {
			t.Fatal(err)
		}
		if e, ok := token.(xml.StartElement); ok {
			counts[e.Name.Local]++
		}
	}
}
