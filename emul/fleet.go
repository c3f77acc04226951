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

// Fleet runs a stand-in for each target of a configuration. Its exported
// fields are set before Start.
type Fleet struct {
	Config  note.Config
	Network ports.Network
	Clock   ports.Clock
	// BasePort is the port of the first target, the next ones follow in the
	// order of their names. Zero means free ports.
	BasePort int
	// Warm says that all targets start warm.
	Warm bool

	witness CostRecorder
	targets map[string]*Target
}

// Start starts the targets and returns the configuration with their addresses.
func (f *Fleet) Start() (note.Config, error) {
	f.targets = make(map[string]*Target)
	placed := maps.Clone(f.Config.Sections.Targets)
	for i, name := range slices.Sorted(maps.Keys(placed)) {
		target := f.target(name, i)
		if err := target.Start(); err != nil {
			_ = f.Close()
			return note.Config{}, err
		}
		f.targets[name] = target
		entry := placed[name]
		entry.Address = target.Address
		placed[name] = entry
	}
	sections := f.Config.Sections
	sections.Targets = placed
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
		Costs:         &f.witness,
		NonIdempotent: f.once(entry.Service),
		TypicalTokens: f.typicalTokens(entry.Service),
		Warm:          f.Warm,
	}
}

// once reports whether the service is used by non-idempotent stages only.
func (f *Fleet) once(service string) bool {
	used := false
	for _, v := range f.stages(service) {
		if v.Idempotent {
			return false
		}
		used = true
	}
	return used
}

// typicalTokens returns the length of the service's longest answers.
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

// Close ends all targets and waits for them.
func (f *Fleet) Close() error {
	var group errgroup.Group
	for _, t := range f.targets {
		group.Go(t.Close)
	}
	return group.Wait()
}

// Target returns the stand-in of a target, nil if there is none.
func (f *Fleet) Target(name string) *Target { return f.targets[name] }

// Names returns the names of the targets in order.
func (f *Fleet) Names() []string { return slices.Sorted(maps.Keys(f.targets)) }

// InDomain returns the stand-ins of a failure domain in the order of their names.
func (f *Fleet) InDomain(domain string) []*Target {
	return f.pick(func(t *Target) bool { return t.Domain == domain })
}

// OfService returns the stand-ins of a service in the order of their names.
func (f *Fleet) OfService(service string) []*Target {
	return f.pick(func(t *Target) bool { return t.ServiceName == service })
}

func (f *Fleet) pick(want func(*Target) bool) []*Target {
	var picked []*Target
	for _, name := range f.Names() {
		if t := f.targets[name]; want(t) {
			picked = append(picked, t)
		}
	}
	return picked
}

// Snapshot is what a fleet has counted.
type Snapshot struct {
	Total    Counts            `json:"total"`
	Services map[string]Counts `json:"services"`
	Targets  map[string]Counts `json:"targets"`
	// DoubleRuns is the number of non-idempotent calls beyond the first one of
	// a request at a service.
	DoubleRuns int `json:"double_runs"`
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
			s.DoubleRuns += max(0, c.NonIdempotentRuns-1)
		}
	}
	return s
}

// Costs returns the costs of all requests at all services.
func (f *Fleet) Costs() map[string][]Cost { return f.witness.Costs() }
