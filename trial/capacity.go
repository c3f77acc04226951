package trial

import (
	"maps"
	"math"
	"slices"

	"bergamotworks/emul"
	"bergamotworks/note"
)

// cachedShare is the assumed share of a prompt that a warm target has cached.
// It is high because the requests of a client account and pipeline share their
// context.
const cachedShare = 0.8

// pipelineShares returns the share of each pipeline in the requests. The shares
// add up to 1.
func (s Script) pipelineShares(config note.Config) map[string]float64 {
	weights := s.Mix
	if len(weights) == 0 {
		weights = make(map[string]float64)
		for name := range config.Sections.Pipelines {
			weights[name] = 1
		}
	}
	total := 0.0
	for _, w := range weights {
		total += w
	}
	shares := make(map[string]float64)
	for name, w := range weights {
		shares[name] = w / total
	}
	return shares
}

// bottleneck is the service that reaches its capacity first as the load rises.
type bottleneck struct {
	service string
	slots   float64 // Concurrent calls that its warm targets accept in total.
	// rate is the capacity in requests per second.
	rate float64
}

// findBottleneck returns the bottleneck if mix holds the share of each pipeline in the
// requests.
func findBottleneck(config note.Config, mix map[string]float64) bottleneck {
	seconds := make(map[string]float64) // Target time of an average request by service.
	for name, share := range mix {
		for _, v := range config.Sections.Pipelines[name].Stages {
			seconds[v.Service] += share * stageSeconds(config, v)
		}
	}
	slots := make(map[string]float64)
	for _, t := range config.Sections.Targets {
		slots[t.Service] += float64(config.Sections.Services[t.Service].WarmLimit)
	}
	first := bottleneck{rate: math.Inf(1)}
	for _, service := range slices.Sorted(maps.Keys(seconds)) {
		if rate := slots[service] / seconds[service]; rate < first.rate {
			first = bottleneck{service: service, slots: slots[service], rate: rate}
		}
	}
	return first
}

// pipelineSeconds returns the time that one request to the pipeline takes at the
// service, at typical speed.
func pipelineSeconds(config note.Config, pipeline, service string) float64 {
	seconds := 0.0
	for _, v := range config.Sections.Pipelines[pipeline].Stages {
		if v.Service == service {
			seconds += stageSeconds(config, v)
		}
	}
	return seconds
}

// stageSeconds returns the time of one call of the stage at typical speed.
func stageSeconds(config note.Config, stage note.Stage) float64 {
	service := config.Sections.Services[stage.Service]
	if service.Kind != note.Generate {
		return service.TypicalLatency().Seconds()
	}
	longest := maxResponseTokens(config, stage.Service)
	return emul.CallTime(service.TypicalLatency(), stage.MaxTokens, longest, cachedShare).Seconds()
}

func maxResponseTokens(config note.Config, service string) int {
	longest := 0
	for _, p := range config.Sections.Pipelines {
		for _, v := range p.Stages {
			if v.Service == service {
				longest = max(longest, v.MaxTokens)
			}
		}
	}
	return longest
}

// minWarmLimit is above the smallest cold limit, 1, so that a warm target still
// takes more calls than one in cold start.
const minWarmLimit = 2

// limitCapacity lowers the limits of the targets so that the capacity is about
// the given number of requests per second. Warm limits are rounded up, so that
// it is not less. A limit of zero changes nothing.
func limitCapacity(config note.Config, mix map[string]float64, limit float64) note.Config {
	current := findBottleneck(config, mix).rate
	if limit == 0 || current <= limit {
		return config
	}
	services := maps.Clone(config.Sections.Services)
	for name, v := range services {
		v.WarmLimit = max(int(math.Ceil(float64(v.WarmLimit)*limit/current)), minWarmLimit)
		v.ColdLimit = max(int(float64(v.ColdLimit)*limit/current), 1)
		services[name] = v
	}
	sections := config.Sections
	sections.Services = services
	return config.WithSections(sections)
}
