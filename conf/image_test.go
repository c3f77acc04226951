package conf

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bergamotworks/note"
)

// TestImage checks that split and assemble preserve every section of a
// configuration.
func TestImage(t *testing.T) {
	var sections note.Sections
	value := reflect.ValueOf(&sections).Elem()
	for i := range value.NumField() {
		f := value.Field(i)
		f.Set(reflect.MakeMap(f.Type()))
		f.SetMapIndex(reflect.ValueOf("one"), reflect.Zero(f.Type().Elem()))
	}
	parts := make(map[string]part)
	for name, s := range split(sections) {
		content, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		if parts[name], err = newPart(name, content); err != nil {
			t.Fatal(err)
		}
	}
	if diff := cmp.Diff(sections, assemble(1, "note", parts).config.Sections); diff != "" {
		t.Errorf("sections (-want +got):\n%s", diff)
	}
}
