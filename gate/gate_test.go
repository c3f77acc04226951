package gate

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bergamotworks/script"
)

// race is a number of workers that enter while the gate is closed.
type race struct {
	Workers int `json:"workers"`
	Rounds  int `json:"rounds"`
	Holds   int `json:"holds"` // Further work begun by each round.
}

func TestCloseUnderEntry(t *testing.T) {
	script.Run(t, "testdata/*.json", func(t *testing.T, data race) {
		var g Gate
		w := &workers{gate: &g, data: data}
		w.done.Add(data.Workers)
		for range data.Workers {
			go w.run()
		}
		g.Close()
		if diff := cmp.Diff(int64(0), w.inside.Load()); diff != "" {
			t.Errorf("work after Close (-want +got):\n%s", diff)
		}
		if g.TryAdd() {
			t.Error("a closed gate was entered")
		}
		w.done.Wait()
	})
}

type workers struct {
	gate   *Gate
	data   race
	inside atomic.Int64
	done   sync.WaitGroup
}

func (w *workers) run() {
	defer w.done.Done()
	for range w.data.Rounds {
		if !w.gate.TryAdd() {
			return
		}
		w.inside.Add(1)
		for range w.data.Holds {
			w.gate.Add()
			w.gate.Done()
		}
		w.inside.Add(-1)
		w.gate.Done()
	}
}
