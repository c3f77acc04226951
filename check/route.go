package check

import (
	"slices"
	"strconv"
	"time"

	"bergamotworks/site"
)

// route examines one route.
func (x *examination) route(r site.Route) {
	place := routePlace(r.Name)
	x.backends(place, r)
	if r.LatencyTarget > r.Timeout && r.Timeout > 0 {
		x.findings.add(Warning, place+".latency_target", "%s is later than the timeout of %s", r.LatencyTarget, r.Timeout)
	}
	if r.Timeout <= 0 {
		x.findings.add(Error, place+".timeout", "%s", r.Timeout)
	}
	switch {
	case r.MaxAttempts < 0:
		x.findings.add(Error, place+".attempts", "%d", r.MaxAttempts)
	case r.MaxAttempts > 1 && !r.Retryable():
		x.findings.add(Warning, place+".attempts", "%d, but requests of the route are not repeated once they may have run", r.MaxAttempts)
	}
	if r.Resumable && r.Kind != site.Stream {
		x.findings.add(Warning, place+".resumable", "has no effect: the responses are not streams")
	}
	x.stages(place, r)
}

// backends reports backends that get no requests or do not exist.
func (x *examination) backends(place string, r site.Route) {
	total := 0
	for _, b := range r.Backends {
		at := place + ".backend " + strconv.Quote(b.Service)
		service, ok := x.config.Service(b.Service)
		switch {
		case !ok:
			x.findings.add(Error, at, "the service is not in the configuration")
		case service.Batch != nil:
			x.findings.add(Warning, at, "the service processes pieces, not requests")
		}
		if b.Weight < 0 {
			x.findings.add(Error, at+".weight", "%d", b.Weight)
		}
		if b.Weight == 0 && len(r.Backends) > 1 {
			x.findings.add(Warning, at+".weight", "zero: the service gets no requests of the route")
		}
		total += max(b.Weight, 0)
	}
	if total == 0 && len(r.Backends) > 1 {
		x.findings.add(Warning, place+".backends", "no weight is positive: all requests go to the first service")
	}
}

// stages reports stages that cannot run, and those that take longer than the request may.
func (x *examination) stages(place string, r site.Route) {
	for i, s := range r.Stages {
		at := place + ".stage " + strconv.Itoa(i)
		service, ok := x.config.Service(s.Service)
		switch {
		case !ok:
			x.findings.add(Error, at, "service %q is not in the configuration", s.Service)
		case service.Batch == nil:
			x.findings.add(Error, at, "service %q processes no pieces", s.Service)
		case s.ResultBytes > service.Batch.ResultCapacityBytes && service.Batch.ResultCapacityBytes > 0:
			x.findings.add(Error, at+".bytes", "a result of %d bytes does not fit into the %d of a target of %q", s.ResultBytes, service.Batch.ResultCapacityBytes, s.Service)
		}
		for _, a := range s.After {
			if a < 0 || a >= i {
				x.findings.add(Error, at+".after", "stage %d is not an earlier one", a)
			}
		}
	}
	switch took := x.stageTime(r); {
	case took > r.Timeout && r.Timeout > 0:
		x.findings.add(Error, place+".stages", "take at least %s one after the other, the timeout is %s", took, r.Timeout)
	case took > r.LatencyTarget && r.LatencyTarget > 0:
		x.findings.add(Warning, place+".stages", "take at least %s one after the other, the latency target is %s", took, r.LatencyTarget)
	}
}

// stageTime returns the least time that the stages of a route take, with one piece each.
func (x *examination) stageTime(r site.Route) time.Duration {
	ends := make([]time.Duration, len(r.Stages))
	for i, s := range r.Stages {
		for _, a := range s.After {
			if a >= 0 && a < i {
				ends[i] = max(ends[i], ends[a])
			}
		}
		if service, ok := x.config.Service(s.Service); ok && service.Batch != nil {
			ends[i] += service.Batch.CallTime + service.Batch.PieceTime
		}
	}
	if len(ends) == 0 {
		return 0
	}
	return slices.Max(ends)
}

// fullCallTime returns the duration of a call with as many pieces as it may have.
func fullCallTime(b site.BatchLimits) time.Duration {
	return b.CallTime + time.Duration(b.Size)*b.PieceTime
}
