package batch

import (
	"slices"
	"strings"
	"time"

	"bergamotworks/admit"
)

const (
	// maxWaitAge is the age from which a reported wait is not passed on.
	maxWaitAge = 2 * time.Second
	// maxWaits limits the shards of one service whose waits are kept.
	maxWaits = 64
)

// waits holds the queue waits of shards, by service and failure domain. Owners
// report them with their responses; submitters pass them on with their next
// submissions, so that all VMs know about a queue soon after one has heard of it.
// It is not safe for concurrent use.
type waits map[string]map[string]reportedWait

// reportedWait is the estimated wait that an owner reported.
type reportedWait struct {
	wait time.Duration
	at   time.Time
	// level is the level of admission as of levelAt; nil if none is known.
	level   *admit.Level
	levelAt time.Time
}

// withLevel returns r with a level that was made at the same time.
func (r reportedWait) withLevel(l *admit.Level) reportedWait {
	if l != nil {
		r.level, r.levelAt = l, r.at
	}
	return r
}

// record sets the wait of a shard as of the given time, unless a later one is
// known.
func (w waits) record(service, domain string, r reportedWait) {
	shards := w[service]
	if shards == nil {
		shards = make(map[string]reportedWait)
		w[service] = shards
	}
	known, ok := shards[domain]
	if ok && !r.at.After(known.at) || !ok && len(shards) >= maxWaits {
		return
	}
	if r.level == nil {
		r.level, r.levelAt = known.level, known.levelAt
	}
	shards[domain] = r
}

// merge records the waits that another node has sent. Malformed ones are
// dropped; it returns their number.
func (w waits) merge(now time.Time, service string, sent []shardWait) int {
	dropped := 0
	for _, v := range sent {
		if v.Wait < 0 || v.Age < 0 || v.Age > maxWaitAge || v.Level != nil && !v.Level.Valid() {
			dropped++
			continue
		}
		w.record(service, v.Domain, reportedWait{wait: v.Wait, at: now.Add(-v.Age)}.withLevel(v.Level))
	}
	return dropped
}

// estimate returns the time until new work of a shard starts: the reported one
// less the time since the report.
func (w waits) estimate(now time.Time, service, domain string) time.Duration {
	r := w[service][domain]
	return max(0, r.wait-now.Sub(r.at))
}

// recent returns the waits of a service that are to be passed on, by failure
// domain.
func (w waits) recent(now time.Time, service string) []shardWait {
	var list []shardWait
	for domain, r := range w[service] {
		age := now.Sub(r.at)
		if age > maxWaitAge {
			delete(w[service], domain)
			continue
		}
		v := shardWait{Domain: domain, Wait: r.wait, Age: max(0, age)}
		if r.levelAt.Equal(r.at) { // A later wait came without a level, which must not look younger than it is.
			v.Level = r.level
		}
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b shardWait) int { return strings.Compare(a.Domain, b.Domain) })
	return list
}
