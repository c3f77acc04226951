package relay

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// rankedClients is the number of clients in a ranking.
	rankedClients = 64
	// maxRankingAge is the time after which a ranking is not used any more. An older one
	// would not show what clients have read since.
	maxRankingAge = 50 * time.Millisecond
)

// ranking holds the slow clients that are to be given up next. When memory is short, each
// response and each request asks for one. If each of them examined all slow clients with
// the mutex of all backlogs locked, thousands would wait for the mutex, some for seconds,
// and targets would cut off the responses.
type ranking struct {
	mutex   sync.Mutex // It is locked before that of all backlogs.
	slowest []rankedBacklog
	at      time.Time // Time of the ranking.
	oldest  time.Time // None of the open backlogs began earlier.
}

// rankedBacklog is a backlog and the time that its client needs for the rest.
type rankedBacklog struct {
	backlog  *backlog
	timeLeft float64 // See backlog.timeLeft.
}

// abandonNext gives up the first client of the ranking that has been slow for minSlow
// and holds memory. It reports false if there is none. For one ranking, minSlow is always
// the same.
func (r *ranking) abandonNext(s *Server, minSlow time.Duration) bool {
	for {
		b := r.next(s, minSlow)
		if b == nil {
			return false
		}
		if s.abandon(b, errSlowClient) { // Its response may have ended meanwhile.
			return true
		}
	}
}

// next removes and returns the first client of the ranking that abandonNext may give up,
// nil if there is none.
func (r *ranking) next(s *Server, minSlow time.Duration) *backlog {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := s.Clock.Now()
	if now.Sub(r.oldest) < minSlow { // Later ones are no older.
		return nil
	}
	if now.Sub(r.at) < maxRankingAge {
		if b := r.first(now, minSlow); b != nil {
			return b
		}
	}
	r.rank(s, now, minSlow)
	return r.first(now, minSlow)
}

// first is next for the present ranking. The caller holds the mutex.
func (r *ranking) first(now time.Time, minSlow time.Duration) *backlog {
	for len(r.slowest) > 0 {
		b := r.slowest[0].backlog
		r.slowest = slices.Delete(r.slowest, 0, 1)
		if _, ok := b.reclaimable(now, minSlow); ok {
			return b
		}
	}
	return nil
}

// rank makes a new ranking. The caller holds the mutex.
func (r *ranking) rank(s *Server, now time.Time, minSlow time.Duration) {
	s.backlogs.mutex.Lock()
	open := slices.Collect(maps.Keys(s.backlogs.open))
	s.backlogs.mutex.Unlock()
	r.slowest, r.at, r.oldest = nil, now, now
	for _, b := range open {
		if b.began.Before(r.oldest) {
			r.oldest = b.began
		}
		if left, ok := b.reclaimable(now, minSlow); ok {
			r.slowest = append(r.slowest, rankedBacklog{backlog: b, timeLeft: left})
		}
	}
	slices.SortFunc(r.slowest, func(a, b rankedBacklog) int { return cmp.Compare(b.timeLeft, a.timeLeft) })
	r.slowest = slices.Clone(r.slowest[:min(len(r.slowest), rankedClients)])
}
