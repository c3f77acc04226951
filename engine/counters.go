package engine

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"bergamotworks/note"
)

// okLabel is the value of the result label of calls without a failure.
const okLabel = "ok"

// counters holds the metrics of a client, created by the first call.
type counters struct {
	once   sync.Once
	calls  map[string]*metrics.Counter
	tokens *metrics.Counter
	times  map[note.StageKind]*metrics.Histogram
}

// add counts one call. It does nothing if the set is nil.
func (c *counters) add(set *metrics.Set, kind note.StageKind, failure *Failure, response Response) {
	if set == nil {
		return
	}
	c.once.Do(func() { c.create(set) })
	result := okLabel
	if failure != nil {
		result = failure.Cause.String()
	}
	c.calls[result].Inc()
	c.tokens.Add(response.Tokens)
	if failure == nil {
		c.times[kind].Update(response.Latency.Seconds())
	}
}

func (c *counters) create(set *metrics.Set) {
	c.calls = make(map[string]*metrics.Counter)
	for _, v := range CauseValues() {
		c.calls[v.String()] = callCounter(set, v.String())
	}
	c.calls[okLabel] = callCounter(set, okLabel)
	c.tokens = set.NewCounter("engine_tokens_total")
	c.times = make(map[note.StageKind]*metrics.Histogram)
	for _, k := range note.StageKindValues() {
		c.times[k] = set.NewHistogram(fmt.Sprintf("engine_call_seconds{kind=%q}", k))
	}
}

func callCounter(set *metrics.Set, result string) *metrics.Counter {
	return set.NewCounter(fmt.Sprintf("engine_calls_total{result=%q}", result))
}
