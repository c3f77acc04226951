package cmds

import (
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"bergamotworks/script"
)

// reloadCase is a settings file that changes while a node runs.
type reloadCase struct {
	Args  []string   `json:"args"`
	Files []string   `json:"files"` // Successive contents; empty leaves the file unchanged.
	Want  []reloaded `json:"want"`  // Settings that are applied.
}

type reloaded struct {
	Seeds  string  `json:"seeds"`
	Share  float64 `json:"share"`
	Slack  float64 `json:"slack"`
	Window string  `json:"window"`
	Cold   float64 `json:"cold"`
	Stop   string  `json:"stop"`
}

func TestReload(t *testing.T) {
	script.Run(t, "testdata/reload/*.json", func(t *testing.T, data map[string]reloadCase) {
		for name, c := range data {
			t.Run(name, func(t *testing.T) { testReload(t, c) })
		}
	})
}

func testReload(t *testing.T, c reloadCase) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	path := filepath.Join(t.TempDir(), "node.conf")
	var got []reloaded
	r := reloader{
		args: append([]string{"-settings", path}, c.Args...), path: path, log: logrus.NewEntry(log),
		apply: func(v relaySettings) {
			b := v.node.Bounds
			got = append(got, reloaded{
				Seeds: v.seeds, Share: b.RetryRatio, Slack: b.RetrySlack, Window: b.RetryWindow.String(), Cold: b.ColdFactor, Stop: v.node.ShutdownTimeout.String(),
			})
		},
	}
	for i, text := range c.Files {
		if text != "" {
			writeAt(t, path, text, time.Unix(int64(1000+i), 0))
		}
		if r.fileChanged() && i > 0 {
			r.reload("changed file")
		}
	}
	if diff := cmp.Diff(c.Want, got); diff != "" {
		t.Errorf("applied settings (-want +got):\n%s", diff)
	}
}

// writeAt writes a file and sets its modification time.
func writeAt(t *testing.T, path, text string, modified time.Time) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Chtimes(path, modified, modified); err != nil {
		t.Fatal(err)
	}
}
