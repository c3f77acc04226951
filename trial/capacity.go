package trial

import (
	"maps"
	"math"
	"slices"

	"bergamotworks/emul"
	"bergamotworks/note"
)

// cachedShare is the part of a prompt that warm targets usually have cached,
// since requests share their context.
const cachedShare = 0.8

// mix returns the shares of the pipelines, which add up to one.
func (s Script) mix(config note.Config) map[string]float64 {
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

// bottleneck is the service that is full first as the load rises.
type bottleneck struct {
	service string
	slots   float64 // Calls that its warm targets take together.
	// rate is the number of requests a second at which it is full.
	rate float64
}

// findBottleneck returns the service that is full first under a mix.
func findBottleneck(config note.Config, mix map[string]float64) bottleneck {
	seconds := make(map[string]float64) // Work of an average request by service.
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

// pipelineSeconds returns the time of one request at a service at the usual speed.
func pipelineSeconds(config note.Config, pipeline, service string) float64 {
	seconds := 0.0
	for _, v := range config.Sections.Pipelines[pipeline].Stages {
		if v.Service == service {
			seconds += stageSeconds(config, v)
		}
	}
	return seconds
}

// stageSeconds returns the time of one call at the usual speed.
func stageSeconds(config note.Config, stage note.Stage) float64 {
	service := config.Sections.Services[stage.Service]
	if service.Kind != note.Generate {
		return service.TypicalLatency().Seconds()
	}
	longest := longestAnswer(config, stage.Service)
	return emul.CallTime(service.TypicalLatency(), stage.MaxTokens, longest, cachedShare).Seconds()
}

func longestAnswer(config note.Config, service string) int {
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

// leastWarmLimit keeps a warm target apart from one in cold start.
const leastWarmLimit = 2

// scale lowers the limits of the targets so that the capacity is about the
// given number of requests a second, and not less. Zero leaves them.
func scale(config note.Config, mix map[string]float64, limit float64) note.Config {
	present := findBottleneck(config, mix).rate
	if limit == 0 || present <= limit {
		return config
	}
	services := maps.Clone(config.Sections.Services)
	for name, v := range services {
		v.WarmLimit = max(int(math.Ceil(float64(v.WarmLimit)*limit/present)), leastWarmLimit)
		v.ColdLimit = max(int(float64(v.ColdLimit)*limit/present), 1)
		services[name] = v
	}
	sections := config.Sections
	sections.Services = services
	return config.WithSections(sections)
}
