package emul

import (
	"maps"
	"net"
	"slices"
	"strconv"

	"golang.org/x/sync/errgroup"

	"bergamotworks/note"
	"bergamotworks/ports"
)

// Fleet runs a stand-in for each target of a configuration. Exported fields must
// be set before Start.
type Fleet struct {
	Config  note.Config
	Network ports.Network
	Clock   ports.Clock
	// BasePort is the port of the first target; the others get the following ports
	// in the order of their names. Zero means free ports.
	BasePort int
	// Warm makes all targets start warm.
	Warm bool

	costs   CostRecorder
	targets map[string]*Target
}

// Start starts the targets and returns the configuration with their addresses.
func (f *Fleet) Start() (note.Config, error) {
	f.targets = make(map[string]*Target)
	targets := maps.Clone(f.Config.Sections.Targets)
	for i, name := range slices.Sorted(maps.Keys(targets)) {
		target := f.target(name, i)
		if err := target.Start(); err != nil {
			_ = f.Close()
			return note.Config{}, err
		}
		f.targets[name] = target
		entry := targets[name]
		entry.Address = target.Address
		targets[name] = entry
	}
	sections := f.Config.Sections
	sections.Targets = targets
	return f.Config.WithSections(sections), nil
}

func (f *Fleet) target(name string, index int) *Target {
	entry := f.Config.Sections.Targets[name]
	port := 0
	if f.BasePort > 0 {
		port = f.BasePort + index
	}
	return &Target{
		Name:          name,
		Service:       f.Config.Sections.Services[entry.Service],
		ServiceName:   entry.Service,
		Domain:        entry.Domain,
		Address:       net.JoinHostPort("127.0.0.1", strconv.Itoa(port)),
		Network:       f.Network,
		Clock:         f.Clock,
		Costs:         &f.costs,
		NonIdempotent: f.nonIdempotent(entry.Service),
		TypicalTokens: f.typicalTokens(entry.Service),
		Warm:          f.Warm,
	}
}

// nonIdempotent reports whether only non-idempotent stages use the service.
func (f *Fleet) nonIdempotent(service string) bool {
	used := false
	for _, v := range f.stages(service) {
		if v.Idempotent {
			return false
		}
		used = true
	}
	return used
}

// typicalTokens returns the largest token limit of the service's stages, the
// length of a response that takes the typical time.
func (f *Fleet) typicalTokens(service string) int {
	longest := 0
	for _, v := range f.stages(service) {
		longest = max(longest, v.MaxTokens)
	}
	return longest
}

func (f *Fleet) stages(service string) []note.Stage {
	var stages []note.Stage
	for _, p := range f.Config.Sections.Pipelines {
		for _, v := range p.Stages {
			if v.Service == service {
				stages = append(stages, v)
			}
		}
	}
	return stages
}

// Close stops all targets and waits for their goroutines.
func (f *Fleet) Close() error {
	var group errgroup.Group
	for _, t := range f.targets {
		group.Go(t.Close)
	}
	return group.Wait()
}

// Target returns the stand-in of a target, or nil if there is none.
func (f *Fleet) Target(name string) *Target { return f.targets[name] }

// Names returns the sorted names of the targets.
func (f *Fleet) Names() []string { return slices.Sorted(maps.Keys(f.targets)) }

// InDomain returns the stand-ins of a failure domain, sorted by name.
func (f *Fleet) InDomain(domain string) []*Target {
	return f.filter(func(t *Target) bool { return t.Domain == domain })
}

// OfService returns the stand-ins of a service, sorted by name.
func (f *Fleet) OfService(service string) []*Target {
	return f.filter(func(t *Target) bool { return t.ServiceName == service })
}

func (f *Fleet) filter(match func(*Target) bool) []*Target {
	var matching []*Target
	for _, name := range f.Names() {
		if t := f.targets[name]; match(t) {
			matching = append(matching, t)
		}
	}
	return matching
}

// Snapshot holds the counts of a fleet, in total, by service and by target.
type Snapshot struct {
	Total    Counts            `json:"total"`
	Services map[string]Counts `json:"services"`
	Targets  map[string]Counts `json:"targets"`
	// DoubleRuns is the number of non-idempotent runs beyond the first of each
	// request at each service.
	DuplicateRuns int `json:"double_runs"`
}

// Snapshot returns what the targets have counted so far.
func (f *Fleet) Snapshot() Snapshot {
	s := Snapshot{Services: make(map[string]Counts), Targets: make(map[string]Counts)}
	for name, t := range f.targets {
		c := t.Counts()
		s.Total = s.Total.plus(c)
		s.Services[t.ServiceName] = s.Services[t.ServiceName].plus(c)
		s.Targets[name] = c
	}
	for _, costs := range f.Costs() {
		for _, c := range costs {
			s.DuplicateRuns += max(0, c.NonIdempotentRuns-1)
		}
	}
	return s
}

// Costs returns the costs at all services by request.
func (f *Fleet) Costs() map[string][]Cost { return f.costs.Costs() }
