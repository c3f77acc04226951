package route

import (
	"cmp"
	"slices"
	"time"

	"bergamotworks/fault"
	"bergamotworks/note"
	"bergamotworks/pool"
	"bergamotworks/ports"
)

// Chooser chooses pools. Set the exported fields before use.
type Chooser struct {
	Random ports.Random
	// Domain is the failure domain of this node; calls that leave it wait for
	// the delay of the network.
	Domain string
	// AffinityBound is how much fuller than the average a pool may be that is
	// chosen for its prefix cache; zero means 1.25.
	AffinityBound float64

	config   note.Config
	entries  map[string]*entry
	services map[string][]*entry // Sorted by pool name.
	open     map[string][]*entry // Those of them that may get new work.
}

// Request describes the call for which a pool is sought.
type Request struct {
	Service  string
	Deadline time.Time
	// Prefix is a hash of the prompt's prefix; zero means none.
	Prefix uint64
	// AvoidPools and AvoidDomains have been tried before.
	AvoidPools   []string
	AvoidDomains []string
}

// Configure puts a configuration in force and keeps what is known of the pools
// that remain.
func (c *Chooser) Configure(config note.Config) {
	c.config = config
	known := c.entries
	c.entries = make(map[string]*entry)
	c.services = make(map[string][]*entry)
	c.open = make(map[string][]*entry)
	for _, s := range pool.Split(config) {
		e := known[s.Name]
		if e == nil {
			e = &entry{}
		}
		e.spec = s
		c.entries[s.Name] = e
		c.services[s.Service] = append(c.services[s.Service], e)
		if c.isOpen(s) {
			c.open[s.Service] = append(c.open[s.Service], e)
		}
	}
}

// Observe takes in a summary that arrived at now.
func (c *Chooser) Observe(now time.Time, summary pool.Summary) {
	e := c.entries[summary.Pool]
	if e == nil {
		return
	}
	e.summary = summary
	e.seen = now
	e.sent = 0
	e.sentAt = now
}

// Refused takes in that a pool refused a call at now and may be tried after wait.
func (c *Chooser) Refused(now time.Time, pool string, wait time.Duration) {
	if e := c.entries[pool]; e != nil {
		e.refused = now.Add(min(wait, longestRefusal))
	}
}

const longestRefusal = 500 * time.Millisecond

// Choose returns the pool for a call at now. The error is a *fault.Error with
// the verdict not run: NotFound for a service without targets, Unavailable if
// every failure domain that has some is out of service.
func (c *Chooser) Choose(now time.Time, request Request) (string, error) {
	all := c.services[request.Service]
	if len(all) == 0 {
		return "", fault.New(fault.NotFound, fault.NotRun, "service %s has no targets", request.Service)
	}
	open := c.open[request.Service]
	if len(open) == 0 {
		return "", fault.New(fault.Unavailable, fault.NotRun, "no failure domain in service has targets of %s", request.Service)
	}
	e := c.choose(now, request, prefer(now, request, open))
	e.send(now)
	return e.spec.Name, nil
}

func (c *Chooser) choose(now time.Time, request Request, candidates []*entry) *entry {
	first := c.draw(now, candidates, nil)
	best := c.better(now, first, c.draw(now, candidates, first))
	if request.Prefix == 0 {
		return best
	}
	holder := c.holder(request.Prefix, candidates)
	if c.fits(now, holder, candidates) {
		return holder
	}
	return best
}

// isOpen reports whether some target of the pool may get new work.
func (c *Chooser) isOpen(spec pool.Spec) bool {
	if c.config.Sections.Domains[spec.Domain].State != note.InService {
		return false
	}
	return slices.ContainsFunc(spec.Targets, c.targetOpen)
}

func (c *Chooser) targetOpen(name string) bool {
	return c.config.Sections.Targets[name].State == note.InService
}

// prefer returns the candidates of the best kind that exists: of failure
// domains that were not tried, else of pools that were not tried, else all. Of
// these, the ones that did not just refuse go first.
func prefer(now time.Time, request Request, open []*entry) []*entry {
	refusing := func(e *entry) bool { return now.Before(e.refused) }
	if len(request.AvoidDomains)+len(request.AvoidPools) == 0 && !slices.ContainsFunc(open, refusing) {
		return open
	}
	kinds := [][]*entry{
		filter(open, func(e *entry) bool {
			return !slices.Contains(request.AvoidDomains, e.spec.Domain) && !slices.Contains(request.AvoidPools, e.spec.Name)
		}),
		filter(open, func(e *entry) bool { return !slices.Contains(request.AvoidPools, e.spec.Name) }),
		open,
	}
	for _, kind := range kinds {
		if len(kind) == 0 {
			continue
		}
		if willing := filter(kind, func(e *entry) bool { return !refusing(e) }); len(willing) > 0 {
			return willing
		}
		return kind
	}
	return open
}

func filter(all []*entry, keep func(e *entry) bool) []*entry {
	var kept []*entry
	for _, e := range all {
		if keep(e) {
			kept = append(kept, e)
		}
	}
	return kept
}

// Pools returns the names of the pools of a service, sorted.
func (c *Chooser) Pools(service string) []string {
	var names []string
	for _, e := range c.services[service] {
		names = append(names, e.spec.Name)
	}
	slices.SortFunc(names, cmp.Compare[string])
	return names
}
