package cmds

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotworks/script"
	"bergamotworks/soak"
)

// soakSeed is a run of the soak. A seed that once failed says why in Cause.
type soakSeed struct {
	Seed     uint64  `json:"seed"`
	LengthMS int     `json:"length_ms"`
	Faults   float64 `json:"faults"` // Per second.
	Cause    string  `json:"cause"`
}

// recoveryTimeout bounds the wait for recovery. It is long, so that the test does
// not depend on the speed of the machine.
const recoveryTimeout = 2 * time.Minute

func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("runs real processes")
	}
	binary := filepath.Join(t.TempDir(), "bergamotworks")
	if out, err := exec.Command("go", "build", "-buildvcs=false", "-o", binary, "bergamotworks").CombinedOutput(); err != nil {
		t.Fatalf("%s: %s", err, out)
	}
	script.Run(t, "testdata/soak/*.json", func(t *testing.T, data map[string]soakSeed) {
		for name, s := range data {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				testSoak(t, binary, s)
			})
		}
	})
}

func testSoak(t *testing.T, binary string, s soakSeed) {
	var out bytes.Buffer
	r := soak.Run{
		Binary: binary, Seed: s.Seed, Duration: time.Duration(s.LengthMS) * time.Millisecond, Nodes: 3, FaultsPerSecond: s.Faults,
		RecoveryTimeout: recoveryTimeout, Dir: t.TempDir(), Output: &out,
	}
	report, err := r.Do(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string(nil), report.Violations); diff != "" {
		t.Errorf("violations (-want +got):\n%s%s", diff, out.String())
		keepLogs(t, r.Dir)
	}
	if report.Served == 0 {
		t.Errorf("none of %d requests was served", report.Requests)
	}
}

// keepLogs logs the last part of each process's log.
func keepLogs(t *testing.T, dir string) {
	t.Helper()
	const most = 4000 // Bytes of each log.
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		t.Error(err)
	}
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			t.Error(err)
		}
		t.Logf("%s:\n%s", f, text[max(0, len(text)-most):])
	}
}
