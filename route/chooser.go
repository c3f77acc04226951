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

// Chooser chooses pools for calls. Set the exported fields before use. A Chooser
// is not safe for concurrent use.
type Chooser struct {
	Random ports.Random
	// Domain is the failure domain of this node. Calls to pools in other failure
	// domains take the network delay longer.
	Domain string
	// AffinityBound is the maximum load of a pool chosen for its prefix cache, as
	// a multiple of the mean load; zero means 1.25.
	AffinityBound float64

	config             note.Config
	pools              map[string]*poolState
	poolsByService     map[string][]*poolState // Sorted by name.
	acceptingByService map[string][]*poolState // Pools of a service that may get new calls.
}

// Request describes a call for which a pool is to be chosen.
type Request struct {
	Service  string
	Deadline time.Time
	// Prefix is a hash of the prompt's prefix; zero means none.
	Prefix uint64
	// AvoidPools and AvoidDomains name pools and failure domains of earlier
	// attempts.
	AvoidPools   []string
	AvoidDomains []string
	// Versions are those of the targets that may get the call; nil means all.
	Versions []string
}

// Configure applies a configuration. It keeps the state of the pools that
// remain.
func (c *Chooser) Configure(config note.Config) {
	c.config = config
	previous := c.pools
	c.pools = make(map[string]*poolState)
	c.poolsByService = make(map[string][]*poolState)
	c.acceptingByService = make(map[string][]*poolState)
	for _, s := range pool.Split(config) {
		p := previous[s.Name]
		if p == nil {
			p = &poolState{}
		}
		p.spec = s
		c.pools[s.Name] = p
		c.poolsByService[s.Service] = append(c.poolsByService[s.Service], p)
		if c.accepts(s) {
			c.acceptingByService[s.Service] = append(c.acceptingByService[s.Service], p)
		}
	}
}

// Observe records a summary that arrived at now.
func (c *Chooser) Observe(now time.Time, summary pool.Summary) {
	p := c.pools[summary.Pool]
	if p == nil {
		return
	}
	p.summary = summary
	p.summaryAt = now
	p.sent = 0
	p.sentUpdatedAt = now
}

// RecordRejection records that a pool rejected a call at now. Other pools are
// preferred until wait has passed, but for at most maxRejectionTime.
func (c *Chooser) RecordRejection(now time.Time, pool string, wait time.Duration) {
	if p := c.pools[pool]; p != nil {
		p.rejectedUntil = now.Add(min(wait, maxRejectionTime))
	}
}

const maxRejectionTime = 500 * time.Millisecond // Maximum time for which a rejection counts.

// Choose returns the name of the pool for a call at now. The error is a
// *fault.Error with the verdict NotRun: NotFound if the service has no targets,
// Unavailable if none of its targets is in service.
func (c *Chooser) Choose(now time.Time, request Request) (string, error) {
	all := c.poolsByService[request.Service]
	if len(all) == 0 {
		return "", fault.New(fault.NotFound, fault.NotRun, "service %s has no targets", request.Service)
	}
	candidates := c.acceptingByService[request.Service]
	if len(candidates) == 0 {
		return "", fault.New(fault.Unavailable, fault.NotRun, "no failure domain in service has targets of %s", request.Service)
	}
	if request.Versions != nil {
		candidates = filter(candidates, func(p *poolState) bool { return slices.Contains(request.Versions, p.spec.Version) })
		if len(candidates) == 0 {
			return "", fault.New(fault.Unavailable, fault.NotRun, "no target in service of %s has a version that may get the call", request.Service)
		}
	}
	p := c.choose(now, request, preferred(now, request, candidates))
	p.recordSent(now)
	return p.spec.Name, nil
}

// choose returns the faster of two candidates drawn at random, or the pool for the
// prefix of the request if its load is within the affinity bound.
func (c *Chooser) choose(now time.Time, request Request, candidates []*poolState) *poolState {
	first := c.drawWeighted(now, candidates, nil)
	best := c.faster(now, first, c.drawWeighted(now, candidates, first))
	if request.Prefix == 0 {
		return best
	}
	holder := c.prefixPool(request.Prefix, candidates)
	if c.withinBound(now, holder, candidates) {
		return holder
	}
	return best
}

// accepts reports whether the configuration allows new calls on some target of the
// pool.
func (c *Chooser) accepts(spec pool.Spec) bool {
	if c.config.Sections.Domains[spec.Domain].State != note.InService {
		return false
	}
	return slices.ContainsFunc(spec.Targets, c.acceptsTarget)
}

func (c *Chooser) acceptsTarget(name string) bool {
	return c.config.Sections.Targets[name].State == note.InService
}

// preferred returns the pools among which to choose: those in failure domains
// without earlier attempts, else those without earlier attempts, else all. Of
// these, it omits pools that rejected a call recently, unless all did.
func preferred(now time.Time, request Request, candidates []*poolState) []*poolState {
	rejecting := func(p *poolState) bool { return now.Before(p.rejectedUntil) }
	if len(request.AvoidDomains)+len(request.AvoidPools) == 0 && !slices.ContainsFunc(candidates, rejecting) {
		return candidates
	}
	groups := [][]*poolState{
		filter(candidates, func(p *poolState) bool {
			return !slices.Contains(request.AvoidDomains, p.spec.Domain) && !slices.Contains(request.AvoidPools, p.spec.Name)
		}),
		filter(candidates, func(p *poolState) bool { return !slices.Contains(request.AvoidPools, p.spec.Name) }),
		candidates,
	}
	for _, group := range groups {
		if len(group) == 0 {
			continue
		}
		if accepting := filter(group, func(p *poolState) bool { return !rejecting(p) }); len(accepting) > 0 {
			return accepting
		}
		return group
	}
	return candidates
}

func filter(all []*poolState, keep func(p *poolState) bool) []*poolState {
	var kept []*poolState
	for _, p := range all {
		if keep(p) {
			kept = append(kept, p)
		}
	}
	return kept
}

// Pools returns the names of the pools of a service, sorted.
func (c *Chooser) Pools(service string) []string {
	var names []string
	for _, p := range c.poolsByService[service] {
		names = append(names, p.spec.Name)
	}
	slices.SortFunc(names, cmp.Compare[string])
	return names
}
