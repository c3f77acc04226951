package trial

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"bergamotworks/note"
)

// sharedContextBytes is the length of the context that all requests of one
// client account and pipeline have in common. It lets targets reuse their prefix
// caches.
const sharedContextBytes = 512

// plannedRequest is a generated request.
type plannedRequest struct {
	name     string // Field "request" of the input; identifies the request at the stand-ins.
	pipeline string
	class    string
	account  string
	key      string // Idempotency key.
	input    json.RawMessage
	stream   bool
	deadline time.Duration // Time from the first attempt to the deadline, over all retries.
	counted  bool          // Sent after the warm-up.
	poison   bool          // Crashes the targets that run it.
	// stages is the number of the pipeline's stages by service, and
	// nonIdempotentStages that of its non-idempotent ones.
	stages              map[string]int
	nonIdempotentStages map[string]int
}

// planner generates the requests of a script at random from the script's seed.
type planner struct {
	script    Script
	config    note.Config
	random    *rand.Rand
	pipelines []weightedName
	accounts  []weightedName
	count     int
}

// weightedName is a name with the sum of its weight and all weights before it.
type weightedName struct {
	name       string
	cumulative float64
}

func newPlanner(script Script, config note.Config) *planner {
	weights := make(map[string]float64)
	for name, v := range config.Sections.Accounts {
		weights[name] = v.Weight
	}
	return &planner{
		script:    script,
		config:    config,
		random:    rand.New(rand.NewPCG(script.Seed, script.Seed)),
		pipelines: accumulate(script.pipelineShares(config)),
		accounts:  accumulate(weights),
	}
}

func accumulate(weights map[string]float64) []weightedName {
	var list []weightedName
	sum := 0.0
	for _, name := range slices.Sorted(maps.Keys(weights)) {
		sum += weights[name]
		list = append(list, weightedName{name: name, cumulative: sum})
	}
	return list
}

// pick returns a random name, with a probability proportional to its weight.
func (p *planner) pick(list []weightedName) string {
	last := list[len(list)-1]
	point := p.random.Float64() * last.cumulative
	for _, v := range list {
		if point < v.cumulative {
			return v.name
		}
	}
	return last.name
}

// interval returns the random time to the next arrival of a Poisson process with
// the given rate per second.
func (p *planner) interval(rate float64) time.Duration {
	seconds := -math.Log(1-p.random.Float64()) / rate
	return time.Duration(seconds * float64(time.Second))
}

// next returns the next request.
func (p *planner) next() plannedRequest {
	p.count++
	account := p.pick(p.accounts)
	return p.newRequest(fmt.Sprintf("%s-%d", p.script.Name, p.count), p.pick(p.pipelines), account)
}

func (p *planner) newRequest(name, pipeline, account string) plannedRequest {
	entry := p.config.Sections.Pipelines[pipeline]
	input, _ := json.Marshal(requestInput{ // Strings always encode.
		Context: sharedContext(pipeline, account), Request: name, Text: "question of " + name,
	})
	stages, nonIdempotent := countStages(entry)
	return plannedRequest{
		stages:              stages,
		nonIdempotentStages: nonIdempotent,
		name:                name,
		pipeline:            pipeline,
		class:               entry.Class,
		account:             account,
		key:                 newKey(),
		input:               input,
		stream:              p.streamable(entry) && p.random.Float64() < p.script.StreamShare,
		deadline:            min(milliseconds(p.script.DeadlineMS), entry.Timeout()),
		counted:             true,
	}
}

func countStages(pipeline note.Pipeline) (all, nonIdempotent map[string]int) {
	all, nonIdempotent = make(map[string]int), make(map[string]int)
	for _, v := range pipeline.Stages {
		all[v.Service]++
		if !v.Idempotent {
			nonIdempotent[v.Service]++
		}
	}
	return all, nonIdempotent
}

// requestInput is the input of a request.
type requestInput struct {
	Context string `json:"context"`
	Request string `json:"request"`
	Text    string `json:"text"`
}

func sharedContext(pipeline, account string) string {
	unit := "document of " + account + " for " + pipeline + ". "
	return strings.Repeat(unit, sharedContextBytes/len(unit)+1)[:sharedContextBytes]
}

// streamable reports whether the last stage of a pipeline is a generate stage, so
// that the response can be streamed.
func (p *planner) streamable(pipeline note.Pipeline) bool {
	if len(pipeline.Stages) == 0 {
		return false
	}
	last := pipeline.Stages[len(pipeline.Stages)-1]
	return p.config.Sections.Services[last.Service].Kind == note.Generate
}

func newKey() string {
	key, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return key.String()
}
