package relay

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotworks/fault"
	"bergamotworks/place"
	"bergamotworks/site"
	"bergamotworks/wire"
)

const (
	// maxRefusals bounds the targets that may refuse a request before the
	// caller is asked to come back.
	maxRefusals = 3
	// noTargetRetry is what callers are told if no target takes the request.
	noTargetRetry = 400 * time.Millisecond
	// noTargetWait is how long a request waits for a target to become free.
	noTargetWait  = 50 * time.Millisecond
	maxUrgency    = 9
	hopConnection = "connection"
)

// affinity returns a hash of the last part of a prompt that requests share.
// The very last part is the request's own.
func affinity(parts string) uint64 {
	list := strings.Split(parts, ",")
	if len(list) < 2 {
		return 0
	}
	id, _, _ := strings.Cut(strings.TrimSpace(list[len(list)-2]), ":")
	return xxhash.Sum64String(id)
}

// serve sends the request to targets until one has answered.
func (j *job) serve(ctx context.Context) error {
	var tried []string
	refusals, runs := 0, 0
	var open error // The last failure after which the request may have run.
	for {
		if ctx.Err() != nil || j.left() <= 0 {
			return j.outOfTime(open)
		}
		g, ok := j.choose(tried)
		if !ok {
			if j.wait(ctx) {
				continue
			}
			return j.noTarget(open)
		}
		if err := j.readySend(ctx, open); err != nil {
			return err
		}
		tried = append(tried, g.ID)
		err := j.send(ctx, g, runs+1 < max(1, j.route.MaxAttempts))
		if err == nil {
			return nil
		}
		if j.begun && !j.resumes(err) {
			return err
		}
		if e := fault.From(err); e.Verdict == fault.NotRun {
			if e.Kind == fault.Expired {
				return err
			}
			j.prepaid = e.Kind == fault.Unavailable // Nothing has arrived anywhere.
			if refusals++; refusals > maxRefusals {
				return j.noTarget(open)
			}
			continue
		}
		open = err
		runs++
		if !j.route.Retryable() || runs >= max(1, j.route.MaxAttempts) {
			return err
		}
	}
}

// readySend takes the next send out of the budget and sees to the results that it
// needs. Open is the last failure after which the request may have run.
func (j *job) readySend(ctx context.Context, open error) error {
	if !j.mayRepeat() {
		return j.outOfBudget(open)
	}
	return j.restage(ctx)
}

// mayRepeat takes a send beyond the first out of the budget.
func (j *job) mayRepeat() bool {
	if j.sends == 0 || j.prepaid {
		j.prepaid = false
		return true
	}
	return j.server.spend(j.service, j.server.Clock.Now())
}

// resumes reports whether a stream that broke off may go on at another target.
func (j *job) resumes(err error) bool {
	var gone *callerGone
	return j.route.Resumable && j.lastEvent != noEvent && !errors.As(err, &gone)
}

// wait lets a moment pass before targets are looked for again.
func (j *job) wait(ctx context.Context) bool {
	if j.server.Clock.Now().Sub(j.arrived) > j.route.LatencyTarget || len(j.server.Directory().Usable(j.service)) == 0 {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-j.server.Clock.After(noTargetWait):
		return true
	}
}

func (j *job) choose(tried []string) (site.Target, bool) {
	s := j.server
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.places.Choose(s.Clock.Now(), j.need(tried))
}

// outOfTime returns the error of a request whose time is over.
func (j *job) outOfTime(open error) error {
	if open != nil {
		return fault.New(fault.DeadlineExceeded, fault.MayHaveRun, "out of time after: %s", open)
	}
	return fault.New(fault.DeadlineExceeded, fault.NotRun, "out of time before a target was found")
}

func (j *job) noTarget(open error) error {
	if open != nil {
		return open
	}
	return fault.New(fault.Busy, fault.NotRun, "no target of %s takes the request", j.service).WithRetryAfter(noTargetRetry)
}

func (j *job) outOfBudget(open error) error {
	if open != nil {
		return open
	}
	return fault.New(fault.Busy, fault.NotRun, "the budget for retries to %s is spent", j.service).WithRetryAfter(noTargetRetry)
}

// send sends the request to one target and passes its answer on. Another says
// whether a further target may have the request after a failure.
func (j *job) send(ctx context.Context, g site.Target, another bool) error {
	s := j.server
	now := s.Clock.Now()
	j.target = g.ID
	s.mutex.Lock()
	s.places.CallStarted(now, g)
	s.mutex.Unlock()
	j.sends++
	answer, err := s.Client.Do(ctx, j.call(g))
	if err != nil {
		return j.ended(g, err)
	}
	defer answer.Close()
	s.told(g, answer.Headers.Get(s.Names.Load))
	if err := j.judge(answer, another); err != nil {
		return j.ended(g, err)
	}
	return j.ended(g, j.pass(ctx, answer))
}

// ended tells the choice of targets how a send ended.
func (j *job) ended(g site.Target, err error) error {
	s := j.server
	s.mutex.Lock()
	s.places.CallEnded(s.Clock.Now(), g, outcome(err))
	s.mutex.Unlock()
	if err == nil {
		j.answered()
		return nil
	}
	s.logSend(j, g, err)
	if e := fault.From(err); e.Kind == fault.ConnectionLost && e.Verdict != fault.NotRun {
		j.lostTarget(g.ID)
	}
	return err
}

// outcome returns what an error says of a target's health.
func outcome(err error) place.Outcome {
	if err == nil {
		return place.Succeeded
	}
	e := fault.From(err)
	switch e.Kind {
	case fault.Canceled, fault.DeadlineExceeded:
		return place.Unknown
	case fault.Unavailable, fault.ConnectionLost:
		return place.Unreachable
	case fault.Busy:
		return place.Overloaded
	case fault.Conflict:
		return place.WrongTarget
	}
	var gone *callerGone
	if errors.As(err, &gone) {
		return place.Unknown
	}
	return place.Failed
}

// told takes in the load that a target tells: running, waiting, slots.
func (s *Server) told(g site.Target, text string) {
	parts := strings.Split(text, ",")
	if len(parts) != 3 {
		return
	}
	var numbers [3]int
	for i, p := range parts {
		n, err := strconv.Atoi(strings.TrimSpace(p))
		if err != nil || n < 0 {
			return
		}
		numbers[i] = n
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.places.LoadReported(s.Clock.Now(), g, place.Load{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2]})
}

// call returns the request as a target gets it.
func (j *job) call(g site.Target) wire.Call {
	n := j.server.Names
	headers := j.passedOn()
	headers = append(headers, wire.Header{Name: n.Deadline, Value: strconv.FormatInt(max(1, j.left().Milliseconds()), 10)},
		wire.Header{Name: n.Target, Value: g.ID})
	if j.account.Name != "" {
		headers = append(headers, wire.Header{Name: n.Account, Value: j.account.Name})
	}
	if j.route.Kind == site.Stream {
		headers = append(headers, wire.Header{Name: n.Urgency, Value: strconv.Itoa(min(maxUrgency, max(0, j.urgency())))})
	}
	if j.begun {
		headers = append(headers, wire.Header{Name: n.LastEvent, Value: strconv.FormatInt(j.lastEvent, 10)})
	}
	if in := j.inputs(); len(in) > 0 {
		headers = append(headers, wire.Header{Name: n.Inputs, Value: strings.Join(in, ",")})
	}
	return wire.Call{
		Address: g.Address, Method: j.request.Method, URI: j.request.URI, Headers: headers, Body: j.request.Body,
		Fresh: !j.route.Retryable(), Tag: wire.Header{Name: n.Request, Value: j.id},
	}
}

// passedOn returns the caller's header fields without those that concern the
// connection or are the system's to set.
func (j *job) passedOn() wire.Headers {
	listed := connectionFields(j.request.Headers)
	for _, name := range j.server.essential() {
		delete(listed, name)
	}
	out := make(wire.Headers, 0, len(j.request.Headers)+5)
	for _, h := range j.request.Headers {
		name := strings.ToLower(h.Name)
		if j.server.own[name] || listed[name] {
			continue
		}
		if strings.EqualFold(h.Name, j.server.Names.LastEvent) && (j.begun || !j.route.Resumable) {
			continue
		}
		out = append(out, h)
	}
	return out
}

// essential returns the fields that belong to the request, in lower case, even
// if a caller names them as its connection's.
func (s *Server) essential() []string {
	n := s.Names
	return []string{"host", strings.ToLower(n.Request), strings.ToLower(n.PromptParts), strings.ToLower(n.LastEvent)}
}

// connectionFields returns the fields that a message names as its connection's.
func connectionFields(headers wire.Headers) map[string]bool {
	var listed map[string]bool
	for _, h := range headers {
		if strings.ToLower(h.Name) != hopConnection {
			continue
		}
		for _, p := range strings.Split(h.Value, ",") {
			if listed == nil {
				listed = make(map[string]bool)
			}
			listed[strings.ToLower(strings.TrimSpace(p))] = true
		}
	}
	return listed
}

// ownFields returns the fields that are never passed on from a caller.
func ownFields(n HeaderNames) map[string]bool {
	own := make(map[string]bool)
	for _, f := range hopFields() {
		own[f] = true
	}
	for _, f := range append([]string{"proxy-authorization", "expect", n.APIKey, n.Account, n.Target, n.Inputs, n.Urgency, n.Deadline}, n.Reserved...) {
		own[strings.ToLower(f)] = true
	}
	return own
}
