// Package script reads the data files of scripted tests.
package script

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Run decodes every file that matches the pattern and calls test with it as a
// subtest named after the file. Unknown fields are errors.
func Run[T any](t *testing.T, pattern string, test func(t *testing.T, data T)) {
	t.Helper()
	paths, err := filepath.Glob(pattern)
	if err != nil {
		t.Fatal(err)
	}
	if len(paths) == 0 {
		t.Fatalf("no data file matches %s", pattern)
	}
	for _, p := range paths {
		t.Run(name(p), func(t *testing.T) { test(t, load[T](t, p)) })
	}
}

func name(path string) string {
	base := filepath.Base(path)
	return strings.TrimSuffix(base, filepath.Ext(base))
}

func load[T any](t *testing.T, path string) T {
	t.Helper()
	text, err := os.ReadFile(path) //nolint:gosec // The path comes from the test itself.
	if err != nil {
		t.Fatal(err)
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	var data T
	if err := decoder.Decode(&data); err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	return data
}
