package place

import (
	"math"
	"slices"
	"time"

	"bergamotworks/member"
	"bergamotworks/site"
)

const (
	// prefixHalfLife is the time after which a request counts half towards the rate of
	// its prefixes.
	prefixHalfLife = 8 * time.Second
	// minPrefixCount is the number of recent requests of all nodes from which on a prefix
	// counts as cached at the targets that serve it. Each node assumes that the others
	// have as many of them as it has itself.
	minPrefixCount = 2
	// minHotCount is the number of recent requests of this node from which on a prefix may
	// count as one with many requests.
	minHotCount = 3
	// copyUtilization is the share of the slots of a target that requests with one
	// prefix may use before another target serves it, too.
	copyUtilization = 0.35
	// maxPrefixes limits the prefixes of a service whose rate is known.
	maxPrefixes = 1024
	// maxCached and cacheLifetime limit what is assumed to be cached at a target.
	maxCached     = 64
	cacheLifetime = 30 * time.Second
)

// prefixTable holds the recent rates of prefixes.
type prefixTable struct {
	prefixes map[uint64]decayingCount
	total    decayingCount
}

// decayingCount is a number of events of which older ones count less.
type decayingCount struct {
	value float64
	at    time.Time
}

func (c decayingCount) get(now time.Time) float64 {
	if c.value == 0 {
		return 0
	}
	return c.value * math.Exp2(-now.Sub(c.at).Seconds()/prefixHalfLife.Seconds())
}

func (c decayingCount) plusOne(now time.Time) decayingCount {
	return decayingCount{value: c.get(now) + 1, at: now}
}

// rate returns the recent requests per second.
func (p *prefixTable) rate(now time.Time) float64 {
	return p.total.get(now) * math.Ln2 / prefixHalfLife.Seconds()
}

// add counts a request with the given prefixes.
func (p *prefixTable) add(now time.Time, list []Prefix) {
	if p.prefixes == nil {
		p.prefixes = make(map[uint64]decayingCount)
	}
	p.total = p.total.plusOne(now)
	for _, x := range list {
		if _, ok := p.prefixes[x.Hash]; !ok && len(p.prefixes) >= maxPrefixes {
			p.evict(now)
		}
		p.prefixes[x.Hash] = p.prefixes[x.Hash].plusOne(now)
	}
}

// evict discards the half of the prefixes with the lowest counts.
func (p *prefixTable) evict(now time.Time) {
	counts := make([]float64, 0, len(p.prefixes))
	for _, c := range p.prefixes {
		counts = append(counts, c.get(now))
	}
	slices.Sort(counts)
	median := counts[len(counts)/2]
	for hash, c := range p.prefixes {
		if c.get(now) <= median {
			delete(p.prefixes, hash)
		}
	}
}

// share returns the share of the recent requests that have the prefix, and whether one
// of so many nodes has seen it often enough for it to be cached.
func (p *prefixTable) share(now time.Time, hash uint64, nodes float64) (share float64, frequent bool) {
	n := p.prefixes[hash].get(now)
	if n == 0 {
		return 0, false
	}
	return min(1, n/p.total.get(now)), n*max(1, nodes) >= minPrefixCount
}

// exceedsTarget reports whether a prefix has more of the recent requests than each of the
// given number of targets has on average, and at least minHotCount.
func (p *prefixTable) exceedsTarget(now time.Time, hash uint64, targets int) bool {
	n := p.prefixes[hash].get(now)
	return n >= minHotCount && n*float64(targets) > p.total.get(now)
}

// countCopies sets the number of targets that serve each prefix of the request: as many
// as its share of the running requests of the service needs.
func (e *estimator) countCopies() {
	running := e.service.utilization.value * e.slots
	perCopy := copyUtilization * e.slots / float64(max(1, len(e.criteria.Targets)))
	e.copies = make([]int, len(e.criteria.Work.Prefixes))
	for i, p := range e.criteria.Work.Prefixes {
		share, frequent := e.service.prefixes.share(e.now, p.Hash, e.criteria.Nodes)
		if !frequent {
			continue
		}
		e.copies[i] = 1 + int(share*running/perCopy)
	}
}

// sentTokens returns the number of tokens of the prompt that this node has lately sent to
// a target.
func (e *estimator) sentTokens(state *targetState) int {
	sent := 0
	for _, p := range e.criteria.Work.Prefixes {
		if at, ok := state.cached[p.Hash]; ok && e.now.Sub(at) < cacheLifetime {
			sent = p.Tokens
		}
	}
	return sent
}

// cachedTokens returns the number of tokens of the prompt that each of the targets has
// cached: those that this node has sent there lately, those of frequent prefixes that
// the target serves, and half of those of others.
func (e *estimator) cachedTokens(states []*targetState) []int {
	cached := make([]int, len(states))
	for i, state := range states {
		cached[i] = e.sentTokens(state)
	}
	before := 0
	for i, p := range e.criteria.Work.Prefixes {
		tokens := p.Tokens
		if e.copies[i] == 0 { // Other nodes may have sent it there or not.
			tokens = (before + p.Tokens) / 2
		}
		for _, index := range topRanked(p.Hash, states, max(1, e.copies[i])) {
			cached[index] = max(cached[index], tokens)
		}
		before = p.Tokens
	}
	return cached
}

// cachedBy returns the number of tokens of the prompt that a target has cached.
func (e *estimator) cachedBy(target site.Target) int {
	states := make([]*targetState, len(e.criteria.Targets))
	own := -1
	for i, t := range e.criteria.Targets {
		states[i] = e.table.state(t)
		if t.ID == target.ID {
			own = i
		}
	}
	if own < 0 {
		return 0
	}
	return e.cachedTokens(states)[own]
}

// topRanked returns the indexes of the targets that have the highest ranks for a prefix,
// at most count, in no order.
func topRanked(prefix uint64, states []*targetState, count int) []int {
	if len(states) == 0 {
		return nil
	}
	ranks := make([]uint64, len(states))
	for i, state := range states {
		ranks[i] = member.Score(prefix, state.idHash)
	}
	count = min(count, len(states))
	lowest := slices.Max(ranks)
	if count > 1 {
		sorted := slices.Clone(ranks)
		slices.Sort(sorted)
		lowest = sorted[len(sorted)-count]
	}
	top := make([]int, 0, count)
	for i, r := range ranks {
		if r >= lowest {
			top = append(top, i)
		}
	}
	return top
}

// recordCached records that a target reads the prefixes.
func (s *targetState) recordCached(now time.Time, list []Prefix) {
	if s.cached == nil {
		s.cached = make(map[uint64]time.Time)
	}
	for _, p := range list {
		s.cached[p.Hash] = now
	}
	for len(s.cached) > maxCached {
		oldest, at := uint64(0), now.Add(1)
		for hash, t := range s.cached {
			if t.Before(at) || t.Equal(at) && hash < oldest {
				oldest, at = hash, t
			}
		}
		delete(s.cached, oldest)
	}
}
