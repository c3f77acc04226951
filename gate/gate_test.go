package gate

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bergamotworks/script"
)

// closeCase has workers add and end tasks while the gate is closed.
type closeCase struct {
	Workers    int `json:"workers"`
	Rounds     int `json:"rounds"`
	ExtraTasks int `json:"holds"` // Tasks that each task adds while it is in flight.
}

func TestCloseWhileAdding(t *testing.T) {
	script.Run(t, "testdata/*.json", func(t *testing.T, data closeCase) {
		var g Gate
		w := &workers{gate: &g, data: data}
		w.done.Add(data.Workers)
		for range data.Workers {
			go w.run()
		}
		g.Close()
		if diff := cmp.Diff(int64(0), w.inFlight.Load()); diff != "" {
			t.Errorf("tasks in flight after Close (-want +got):\n%s", diff)
		}
		if g.TryAdd() {
			t.Error("TryAdd succeeded on a closed gate")
		}
		w.done.Wait()
	})
}

type workers struct {
	gate     *Gate
	data     closeCase
	inFlight atomic.Int64
	done     sync.WaitGroup
}

func (w *workers) run() {
	defer w.done.Done()
	for range w.data.Rounds {
		if !w.gate.TryAdd() {
			return
		}
		w.inFlight.Add(1)
		for range w.data.ExtraTasks {
			w.gate.Add()
			w.gate.Done()
		}
		w.inFlight.Add(-1)
		w.gate.Done()
	}
}
