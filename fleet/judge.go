package fleet

import (
	"net/http"
	"strings"
	"time"
)

// The bounds of the rules, as the platform states them.
const (
	drainBound       = 2 * time.Second        // From the word of a departure to the last request that is sent for it.
	applyBound       = 2 * time.Second        // From a version of the configuration to the last request by an older one.
	drainDomainBound = 5 * time.Second        // From the drain to the last request that is sent to the domain.
	waitGrace        = 500 * time.Millisecond // From the response of a target that asks to wait.
	maxWhileWaiting  = 2                      // Requests that a node may send from then to the end of the wait.
	contactBound     = 3 * time.Second        // After an impairment a node counts as impaired for as long.
	lateBound        = 500 * time.Millisecond // After the timeout of a route.
	// crashSettling is the time after the fifth crash by one request after which at most
	// maxLateCrashes follow.
	crashSettling  = 3 * time.Second
	crashesKnown   = 5
	maxLateCrashes = 3
	// recoveredShare is the least share of requests that are served from recoverBound
	// after the last event on.
	recoveredShare = 0.95
	recoverBound   = 5 * time.Second
)

// judge checks all rules with what the stand-ins have seen.
func (w *World) judge(started time.Time) Result {
	j := judgement{World: w, started: started, byID: make(map[string]*Request), runsByID: make(map[string][]Run)}
	result := Result{Requests: len(w.requests)}
	for _, q := range w.requests {
		j.byID[q.ID] = q
		if q.Status == http.StatusOK {
			result.Served++
		}
	}
	for _, r := range w.runs {
		j.runsByID[r.ID] = append(j.runsByID[r.ID], r)
		j.checkRun(r)
	}
	for _, q := range w.requests {
		j.checkRequest(q)
	}
	j.checkWaits()
	j.checkCrashes()
	j.checkRecovery()
	result.Violations = w.violations
	return result
}

// judgement is the state of a judge.
type judgement struct {
	*World
	started  time.Time
	byID     map[string]*Request
	runsByID map[string][]Run
}

func (j judgement) checkRun(r Run) {
	q := j.byID[r.ID]
	if q == nil || q.Path != r.Path || q.Body != r.Body {
		j.report("unknown_request", "%s runs %s %s %q", r.Target, r.ID, r.Path, r.Body)
		return
	}
	demanded := j.demandedUntil(r.Node, q.Sent)
	if d := j.departures[r.Target]; !d.IsZero() && demanded.After(d.Add(drainBound)) {
		j.report("departed_target", "%s, sent to %s %s after the departure, reaches %s", r.ID, q.Node, q.Sent.Sub(d), r.Target)
	}
	j.checkLeaving(r, q)
	for _, e := range j.drained {
		if e.domain == j.domainOfTarget[r.Target] && demanded.After(e.from.Add(drainDomainBound)) && r.At.Before(e.to) {
			j.report("drained_domain", "%s, sent %s after %s was drained, runs at %s", r.ID, q.Sent.Sub(e.from), e.domain, r.Target)
		}
	}
	if !demanded.IsZero() && !j.allows(q, demanded, func(c configChange) bool { return j.leadsTo(c, r) }) {
		j.report("old_configuration", "%s, sent %s, runs at %s, as only an old configuration says", r.ID, q.Sent.Sub(j.started), r.Target)
	}
}

// checkLeaving checks that a node sends no request to a target that has told it that it
// leaves.
func (j judgement) checkLeaving(r Run, q *Request) {
	for _, n := range j.notices {
		if n.Leaves && n.Target == r.Target && n.Node == r.Node && q.Sent.After(n.At.Add(drainBound)) && !j.restarted(r.Node, n.At, q.Sent) {
			j.report("leaving_target", "%s, sent %s after %s has said to %s that it leaves, runs there", r.ID, q.Sent.Sub(n.At), r.Target, r.Node)
			return
		}
	}
}

// restarted reports whether the process of a node may have ended between two times.
func (j judgement) restarted(ip string, from, to time.Time) bool {
	for _, e := range j.day.Events {
		at := j.started.Add(time.Duration(e.AtMS) * time.Millisecond)
		ends := e.Kind == KillNode || e.Kind == StopNode
		if ends && j.nodes[e.Node%len(j.nodes)].ip == ip && at.Before(to) && at.Add(nodeStopTime+time.Duration(e.ForMS)*time.Millisecond).After(from) {
			return true
		}
	}
	return false
}

// checkWaits checks that a target that asks a node to wait gets few requests from it.
func (j judgement) checkWaits() {
	for _, n := range j.notices {
		if n.Leaves {
			continue
		}
		count, end := 0, n.At.Add(waitSeconds*time.Second)
		for _, a := range j.arrivals {
			if a.target == n.Target && a.node == n.Node && a.at.After(n.At.Add(waitGrace)) && a.at.Before(end) {
				count++
			}
		}
		if count > maxWhileWaiting && !j.restarted(n.Node, n.At, end) && !j.impaired(n.Node, n.At) {
			j.report("wait_ignored", "%s gets %d requests from %s while it has asked for none", n.Target, count, n.Node)
			return
		}
	}
}

// leadsTo reports whether a configuration leads a request to the service of a target.
func (j judgement) leadsTo(c configChange, r Run) bool {
	return c.key && c.services[prefixOf(r.Path)] == j.serviceOfTarget[r.Target]
}

func prefixOf(path string) string { return path[:strings.LastIndex(path, "/")+1] }

// allows reports whether a version of the configuration that may be in force for a
// request has a property: one that was written from applyBound before the given time on.
func (j judgement) allows(q *Request, demanded time.Time, property func(configChange) bool) bool {
	for i, c := range j.configs {
		replaced := i+1 < len(j.configs) && j.configs[i+1].at.Add(applyBound).Before(demanded)
		if !replaced && !c.at.After(q.Ended) && property(c) {
			return true
		}
	}
	return false
}

func (j judgement) checkRequest(q *Request) {
	runs, prefix := j.runsByID[q.ID], prefixOf(q.Path)
	if prefix == orderPath && len(runs) > 1 {
		j.report("run_twice", "%s runs %d times, at %s and %s", q.ID, len(runs), runs[0].Target, runs[1].Target)
	}
	if saysNotRun(q.Status) && len(runs) > 0 && prefix != streamPath {
		j.report("false_not_run", "%s gets %s %q and has run at %s", q.ID, statusText(q.Status), q.Answer, runs[0].Target)
	}
	if q.Status == 0 && !j.cut(q) {
		j.report("no_response", "%s, to %s, gets no response: %s", q.ID, q.Node, q.Error)
	}
	if took := q.Ended.Sub(q.Sent); q.Status != 0 && took > clientDeadline+lateBound && !j.impaired(q.Node, q.Sent) {
		j.report("late_response", "%s gets %s after %s", q.ID, statusText(q.Status), took)
	}
	j.checkAnswer(q)
}

// checkAnswer checks what a response says.
func (j judgement) checkAnswer(q *Request) {
	if q.Status == http.StatusOK && q.Answer != j.wanted(q) || strings.Contains(q.Error, "bytes after the response") {
		j.report("foreign_response", "%s gets %q %s", q.ID, q.Answer, q.Error)
	}
	if q.Status == http.StatusNotFound || q.Status == http.StatusBadRequest || q.Status == http.StatusUnauthorized && j.keyAlways(q) {
		j.report("valid_rejected", "%s gets %s %q", q.ID, statusText(q.Status), q.Answer)
	}
}

// cut reports whether a request may have got no response: its node was killed or its
// connections reset, or its stream broke off after it had begun.
func (j judgement) cut(q *Request) bool {
	if prefixOf(q.Path) == streamPath {
		return true
	}
	for _, e := range j.day.Events {
		at := j.started.Add(time.Duration(e.AtMS) * time.Millisecond)
		if (e.Kind == KillNode || e.Kind == ResetNode) && j.nodes[e.Node%len(j.nodes)].ip == q.Node && !at.Before(q.Sent.Add(-time.Second)) && !at.After(q.Ended) {
			return true
		}
	}
	return false
}

func (j judgement) wanted(q *Request) string {
	if prefixOf(q.Path) == streamPath {
		return wholeStream(q.Body)
	}
	return echo(q.Body)
}

// keyAlways reports whether the clients' key was valid in all versions that may have
// been in force.
func (j judgement) keyAlways(q *Request) bool {
	demanded := j.demandedUntil(q.Node, q.Sent)
	return !demanded.IsZero() && !j.allows(q, demanded, func(c configChange) bool { return !c.key })
}

// impaired reports whether a node was cut off, its process had just started or the store
// was not up, then or within contactBound before.
func (j judgement) impaired(ip string, at time.Time) bool {
	ms := int(at.Sub(j.started).Milliseconds())
	for _, e := range j.day.Events {
		if ms < e.AtMS || ms > e.end()+int(contactBound.Milliseconds()) {
			continue
		}
		own := j.nodes[e.Node%len(j.nodes)].ip == ip
		switch e.Kind {
		case StoreMoment:
			return true
		case SilenceDomain:
			if j.domainOf(ip) == j.nodes[e.Node%len(j.nodes)].domain() {
				return true
			}
		case CutFromStore, SilenceNode, CutNodes, KillNode, StopNode, ResetNode:
			if own || e.Kind == CutNodes && j.nodes[e.Other%len(j.nodes)].ip == ip {
				return true
			}
		}
	}
	return false
}

func (j judgement) domainOf(ip string) string {
	for _, n := range j.nodes {
		if n.ip == ip {
			return n.domain()
		}
	}
	return ""
}

// checkCrashes checks how often one request crashes targets.
func (j judgement) checkCrashes() {
	byBody := make(map[string][]crash)
	for _, c := range j.crashes {
		byBody[c.body] = append(byBody[c.body], c)
	}
	for body, list := range byBody {
		late := 0
		for i, c := range list {
			if i >= crashesKnown && c.at.After(list[crashesKnown-1].at.Add(crashSettling)) {
				late++
			}
		}
		if late > maxLateCrashes {
			j.report("crash_limit", "%q crashes %d targets, %d of them late", body, len(list), late)
		}
	}
}

// checkRecovery checks that requests are served again after the last event.
func (j judgement) checkRecovery() {
	last := int(settleTime.Milliseconds())
	for _, e := range j.day.Events {
		last = max(last, e.end())
	}
	from := j.started.Add(time.Duration(last)*time.Millisecond + recoverBound)
	all, served := 0, 0
	for _, q := range j.requests {
		if q.Sent.Before(from) || strings.HasPrefix(q.Body, crashBody) {
			continue
		}
		all++
		if q.Status == http.StatusOK {
			served++
		}
	}
	if all > 0 && float64(served) < recoveredShare*float64(all) {
		j.report("no_recovery", "%d of %d requests are served after the last event", served, all)
	}
}
