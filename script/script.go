// Package script runs tests whose cases are JSON files.
package script

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Run decodes every JSON file that matches the pattern and calls test with the
// data, as a subtest named after the file. The test fails if no file matches or a
// file has unknown fields.
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
		t.Run(testName(p), func(t *testing.T) { test(t, readFile[T](t, p)) })
	}
}

func testName(path string) string {
	base := filepath.Base(path)
	return strings.TrimSuffix(base, filepath.Ext(base))
}

func readFile[T any](t *testing.T, path string) T {
	t.Helper()
	text, err := os.ReadFile(path) //nolint:gosec // The path comes from the test.
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
