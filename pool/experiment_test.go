package pool_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"bergamotworks/pool"
	"bergamotworks/script"
)

func TestExperiments(t *testing.T) {
	script.Run(t, "testdata/experiments/*.json", func(t *testing.T, data experiment) {
		figures := data.run(pool.Owned)
		for k, v := range data.AtLeast {
			if figures[k] < v {
				t.Errorf("%s = %.4f, want at least %.4f", k, figures[k], v)
			}
		}
		for k, v := range data.AtMost {
			if figures[k] > v {
				t.Errorf("%s = %.4f, want at most %.4f", k, figures[k], v)
			}
		}
	})
}

// BenchmarkExperiments reports the judged figures of each experiment under each
// policy. Run it with -benchtime 1x.
func BenchmarkExperiments(b *testing.B) {
	paths, _ := filepath.Glob("testdata/experiments/*.json")
	for _, path := range paths {
		data := readExperiment(b, path)
		for _, policy := range pool.PolicyValues() {
			b.Run(fmt.Sprintf("%s/%s", filepath.Base(path), policy), func(b *testing.B) {
				for b.Loop() {
					reportFigures(b, data, data.run(policy))
				}
			})
		}
	}
}

func readExperiment(b *testing.B, path string) experiment {
	b.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		b.Fatal(err)
	}
	var data experiment
	if err := json.Unmarshal(text, &data); err != nil {
		b.Fatal(err)
	}
	return data
}

func reportFigures(b *testing.B, data experiment, figures map[string]float64) {
	var names []string
	for k := range data.AtLeast {
		names = append(names, k)
	}
	for k := range data.AtMost {
		names = append(names, k)
	}
	slices.Sort(names)
	for _, n := range slices.Compact(names) {
		b.ReportMetric(figures[n], n)
	}
}
