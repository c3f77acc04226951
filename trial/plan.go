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

// sharedContextBytes is the length of the part of an input that all requests
// of one account and pipeline have in common.
const sharedContextBytes = 512

// planned is one request before it is sent.
type planned struct {
	name     string // Value of the member "request" of the input.
	pipeline string
	class    string
	account  string
	key      string
	input    json.RawMessage
	stream   bool
	deadline time.Duration
	tallied  bool
	poison   bool
	// visits and onceVisits count the stages, and the non-idempotent stages, of
	// the pipeline by service.
	visits     map[string]int
	onceVisits map[string]int
}

// planner draws requests from the script's seed.
type planner struct {
	script    Script
	config    note.Config
	random    *rand.Rand
	pipelines []weighted
	accounts  []weighted
	count     int
}

// weighted is a name with the sum of its own and all earlier weights.
type weighted struct {
	name  string
	until float64
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
		pipelines: accumulate(script.mix(config)),
		accounts:  accumulate(weights),
	}
}

func accumulate(weights map[string]float64) []weighted {
	var list []weighted
	sum := 0.0
	for _, name := range slices.Sorted(maps.Keys(weights)) {
		sum += weights[name]
		list = append(list, weighted{name: name, until: sum})
	}
	return list
}

// pick draws a name by its weight.
func (p *planner) pick(list []weighted) string {
	last := list[len(list)-1]
	point := p.random.Float64() * last.until
	for _, v := range list {
		if point < v.until {
			return v.name
		}
	}
	return last.name
}

// wait draws the time to the next arrival at a rate per second.
func (p *planner) wait(rate float64) time.Duration {
	seconds := -math.Log(1-p.random.Float64()) / rate
	return time.Duration(seconds * float64(time.Second))
}

// next draws a request.
func (p *planner) next() planned {
	p.count++
	account := p.pick(p.accounts)
	return p.request(fmt.Sprintf("%s-%d", p.script.Name, p.count), p.pick(p.pipelines), account)
}

func (p *planner) request(name, pipeline, account string) planned {
	entry := p.config.Sections.Pipelines[pipeline]
	input, _ := json.Marshal(requestInput{ // Strings always encode.
		Context: sharedContext(pipeline, account), Request: name, Text: "question of " + name,
	})
	visits, onceVisits := countVisits(entry)
	return planned{
		visits:     visits,
		onceVisits: onceVisits,
		name:       name,
		pipeline:   pipeline,
		class:      entry.Class,
		account:    account,
		key:        newKey(),
		input:      input,
		stream:     p.generates(entry) && p.random.Float64() < p.script.StreamShare,
		deadline:   min(milliseconds(p.script.DeadlineMS), entry.Deadline()),
		tallied:    true,
	}
}

func countVisits(pipeline note.Pipeline) (all, once map[string]int) {
	all, once = make(map[string]int), make(map[string]int)
	for _, v := range pipeline.Stages {
		all[v.Service]++
		if !v.Idempotent {
			once[v.Service]++
		}
	}
	return all, once
}

// requestInput is the input of the requests that experiments send.
type requestInput struct {
	Context string `json:"context"`
	Request string `json:"request"`
	Text    string `json:"text"`
}

func sharedContext(pipeline, account string) string {
	unit := "document of " + account + " for " + pipeline + ". "
	return strings.Repeat(unit, sharedContextBytes/len(unit)+1)[:sharedContextBytes]
}

// generates reports whether the last stage of a pipeline is a model engine, so
// that its answer can be streamed.
func (p *planner) generates(pipeline note.Pipeline) bool {
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
