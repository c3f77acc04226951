package trial

import (
	"maps"
	"math"

	"bergamotworks/note"
)

// prefillShare is the part of a generation's time that the prompt takes in the
// stand-ins; the rest grows with the number of tokens.
const prefillShare = 0.3

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

// capacity returns the number of requests a second at which the first service
// is busy with as many calls as its warm targets take.
func capacity(config note.Config, mix map[string]float64) float64 {
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
	least := math.Inf(1)
	for service, work := range seconds {
		least = min(least, slots[service]/work)
	}
	return least
}

// stageSeconds returns the time of one call at the usual speed.
func stageSeconds(config note.Config, stage note.Stage) float64 {
	service := config.Sections.Services[stage.Service]
	typical := service.Typical().Seconds()
	if service.Kind != note.Generate {
		return typical
	}
	longest := longestAnswer(config, stage.Service)
	return typical * (prefillShare + (1-prefillShare)*float64(stage.MaxTokens)/float64(max(longest, 1)))
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

// scale lowers the warm limits so that the capacity does not exceed the given
// number of requests a second. Zero leaves them.
func scale(config note.Config, mix map[string]float64, limit float64) note.Config {
	present := capacity(config, mix)
	if limit == 0 || present <= limit {
		return config
	}
	services := maps.Clone(config.Sections.Services)
	for name, v := range services {
		lowered := int(math.Ceil(float64(v.WarmLimit) * limit / present))
		v.WarmLimit = max(lowered, 1)
		v.ColdLimit = min(v.ColdLimit, v.WarmLimit)
		services[name] = v
	}
	sections := config.Sections
	sections.Services = services
	return config.WithSections(sections)
}
