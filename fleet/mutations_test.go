package fleet

import (
	"encoding/json"
	"flag"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	mutationSeeds = flag.Int("mutations", 0, "number of days after which the judge must have found each fault of testdata/mutations.json; zero skips them")
	mutationName  = flag.String("mutation", "", "part of the name of the faults to try; empty for all")
)

// mutation is a small fault put into the product, and the rule that it breaks.
type mutation struct {
	Name string `json:"name"`
	Rule string `json:"rule"`
	File string `json:"file"`
	Old  string `json:"old"` // Stands once in the file.
	New  string `json:"new"`
}

// TestMutations shows that the judge can fail. It is run by hand, since each fault needs
// a copy of the module and a build.
func TestMutations(t *testing.T) {
	if *mutationSeeds == 0 {
		t.Skip("run with -mutations")
	}
	text, err := os.ReadFile("testdata/mutations.json")
	if err != nil {
		t.Fatal(err)
	}
	var list []mutation
	if err := json.Unmarshal(text, &list); err != nil {
		t.Fatal(err)
	}
	for _, m := range list {
		if strings.Contains(m.Name, *mutationName) {
			t.Run(m.Name, m.test)
		}
	}
}

func (m mutation) test(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	if err := copyModule("..", dir); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, m.File)
	source, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(string(source), m.Old); n != 1 {
		t.Fatalf("%q stands %d times in %s", m.Old, n, m.File)
	}
	if err := os.WriteFile(path, []byte(strings.Replace(string(source), m.Old, m.New, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	command := exec.CommandContext(t.Context(), "go", "test", "-vet=off", "./fleet", "-run", "TestDays$", "-seeds", fmt.Sprint(*mutationSeeds), "-until", m.Rule)
	command.Dir = dir
	output, _ := command.CombinedOutput() // It fails if the judge finds the fault.
	found := regexp.MustCompile(`seed (\d+): ` + m.Rule + `: .*`).FindString(string(output))
	if found == "" {
		t.Fatalf("not found in %d days:\n%s", *mutationSeeds, output[max(0, len(output)-2000):])
	}
	t.Log(found)
}

// copyModule copies the Go files and the test data of the module.
func copyModule(from, to string) error {
	return filepath.WalkDir(from, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name, err := filepath.Rel(from, path)
		if err != nil {
			return err
		}
		if d.IsDir() && (d.Name() == ".git" || name == "journal" || name == "review" || name == "target") {
			return filepath.SkipDir
		}
		if d.IsDir() {
			return os.MkdirAll(filepath.Join(to, name), 0o750)
		}
		if !d.Type().IsRegular() {
			return nil
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(to, name), data, 0o600)
	})
}
