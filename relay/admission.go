package relay

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"bergamotworks/admit"
	"bergamotworks/fault"
)

const (
	// bytesPerToken estimates the tokens of a request that does not declare the parts
	// of its prompt.
	bytesPerToken = 4
	// rejectionLogsPerSecond limits the log lines about rejections.
	rejectionLogsPerSecond = 2
	rejectionLogBurst      = 10
	levelLogInterval       = time.Second // Between two log lines on the level of a service.
)

// priorityAdmission decides which requests this node admits. The fields are guarded by the
// server's mutex.
type priorityAdmission struct {
	table    admit.Table
	logLimit *rate.Limiter
	// pruned is the revision of the configuration by which the table was pruned.
	pruned int64
	// logged is the last logged level by service without owners.
	logged map[string]loggedLevel
}

// loggedLevel is what was last logged of a level.
type loggedLevel struct {
	at       time.Time
	limited  bool
	priority int
}

// change records a level and reports whether it is to be logged: it begins or ends to
// limit requests, or does so at another priority, at most once in levelLogInterval.
func (a *priorityAdmission) change(now time.Time, service string, l admit.Level) bool {
	next, last := loggedLevel{at: now, limited: !l.Unlimited(), priority: l.Priority}, a.logged[service]
	if next.limited == last.limited && next.priority == last.priority || now.Sub(last.at) < levelLogInterval {
		return false
	}
	a.logged[service] = next
	return true
}

func newPriorityAdmission() priorityAdmission {
	return priorityAdmission{logged: make(map[string]loggedLevel), logLimit: rate.NewLimiter(rejectionLogsPerSecond, rejectionLogBurst)}
}

// admit asks once whether the request may run, before its stages and for all of them
// and the service together. The error of a rejection says that it has not run.
func (x *exchange) admit() error {
	s := x.server
	if !s.PriorityAdmission {
		return nil
	}
	r := x.admissionRequest()
	now := s.Clock.Now()
	s.mutex.Lock()
	if s.priorities.pruned != x.config.Revision {
		s.priorities.pruned = x.config.Revision
		clear(s.priorities.logged)
		s.priorities.table.Prune(func(service string) bool { return len(s.Directory().Usable(service)) > 0 })
	}
	if s.priorities.table.LoadDue(now, x.service) {
		s.observeLoad(now, x.service)
	}
	final := s.priorities.table.FirstEventTime(now, x.service, x.route.Name)
	if len(r.Stages) > 0 {
		final = max(final, finalTime)
	}
	r.Expected += final
	x.decision = s.priorities.table.Admit(now, r)
	level := s.priorities.table.Level(now, x.service)
	logged := x.decision.Reason != admit.Admitted && s.priorities.logLimit.AllowN(now, 1)
	changed := s.priorities.change(now, x.service, level)
	s.mutex.Unlock()
	s.countDecision(x, level)
	if changed {
		s.Log.WithFields(logrus.Fields{
			"service": x.service, "limited": !level.Unlimited(), "priority": level.Priority, "share": level.Share, "reserved": level.Reserved, "accounts": len(level.Accounts),
		}).Info("level of admission changed")
	}
	if x.decision.Reason == admit.Admitted {
		return nil
	}
	if logged {
		x.logRejection(r)
	}
	x.retryDecided = true
	return fault.New(fault.Busy, fault.NotRun, "not admitted (%s): %s serves %.0f%% of such requests, and %s are expected of %s left",
		x.decision.Reason, x.decision.Service, 100*x.decision.Share, r.Expected.Round(time.Millisecond), r.Left.Round(time.Millisecond)).WithRetryAfter(x.decision.RetryAfter)
}

// finalTime is the expected time from the last result of a stage to the first event,
// unless responses show that it is longer. It equals finalResponseTime of batch, which
// Plan.StagesTime leaves out.
const finalTime = 250 * time.Millisecond

// observeLoad passes the loads that the targets of a service report to the admission.
// The caller holds s.mutex.
func (s *Server) observeLoad(now time.Time, service string) {
	sum := s.placement.LoadSum(now, s.Directory().Usable(service))
	s.priorities.table.Observe(now, service, admit.Load{
		Running: sum.Running, Waiting: sum.Waiting, Slots: sum.Slots, Reporting: sum.Reporting, Targets: sum.Targets,
	})
}

// admissionRequest returns what the decision is based on. Expected is that of the stages.
func (x *exchange) admissionRequest() admit.Request {
	s, now := x.server, x.server.Clock.Now()
	r := admit.Request{
		Route: x.route.Name, Class: admit.Class{Priority: x.priority(), Account: x.account.Name},
		Service: x.service, Work: x.tokens(), Print: x.repeatPrint(),
		TargetLeft: x.arrived.Add(x.route.LatencyTarget).Sub(now), Left: x.timeLeft(),
		Draw: s.draw(),
	}
	if x.route.LatencyTarget <= 0 {
		r.TargetLeft = r.Left
	}
	if s.Levels != nil {
		for i, stage := range x.route.Stages {
			if x.pieceCounts[i] > 0 {
				r.Stages = append(r.Stages, admit.Stage{Service: stage.Service, Shards: s.Levels(stage.Service)})
			}
		}
	}
	r.Expected = x.stagesTime()
	return r
}

// stagesTime returns the expected time until the results of all stages are there.
func (x *exchange) stagesTime() time.Duration {
	if len(x.route.Stages) == 0 {
		return 0
	}
	return x.plan().StagesTime()
}

// tokens returns the tokens of the prompt as declared, or estimated from the body.
func (x *exchange) tokens() float64 {
	sum := 0.0
	for part := range strings.SplitSeq(x.request.Headers.Get(x.server.Names.PromptParts), ",") {
		if _, tokens, ok := strings.Cut(part, ":"); ok {
			if n, err := strconv.ParseUint(strings.TrimSpace(tokens), 10, 32); err == nil {
				sum += float64(n)
			}
		}
	}
	if sum == 0 {
		sum = float64(len(x.request.Body)) / bytesPerToken
	}
	return 1 + sum
}

// repeatPrint returns a hash by which a repeat of the request is recognised: of its
// content and of the inputs of its stages.
func (x *exchange) repeatPrint() uint64 {
	names := x.server.Names
	return x.hashContent(x.caller(), x.request.Headers.Get(names.PromptParts), x.request.Headers.Get(names.StagePieces), x.request.Headers.Get(names.PieceKey))
}

// stageWeight returns the number of requests that this one stands for at a stage.
func (x *exchange) stageWeight(stage int) float64 {
	at := 0
	for i := range stage {
		if x.pieceCounts[i] > 0 {
			at++
		}
	}
	return x.decision.Weight(at)
}

// recordFirstByte records the time to the first byte of the response.
func (x *exchange) recordFirstByte() {
	now := x.server.Clock.Now()
	x.firstByte = now.Sub(x.arrived)
	x.observeFirst(now)
}

// recordOverdue records a request that has ended without a response after its latency
// target, though it was sent to a target.
func (x *exchange) recordOverdue() {
	now := x.server.Clock.Now()
	if x.firstByte == 0 && x.attempts > 0 && now.Sub(x.arrived) > x.route.LatencyTarget {
		x.observeFirst(now)
	}
}

// observeFirst tells the admission how long the service took until now. A response after
// the latency target counts as late unless the stages took most of the time.
func (x *exchange) observeFirst(now time.Time) {
	s := x.server
	if !s.PriorityAdmission {
		return
	}
	took, target := now.Sub(x.arrived), x.route.LatencyTarget
	e := admit.FirstEvent{Route: x.route.Name, Took: took - x.stageDuration, Late: target > 0 && took > target && x.stageDuration < target/2}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.priorities.table.Observe(now, x.service, e)
}

// spreadRetry returns the error with a retry delay that differs between clients, unless
// the admission has decided on it.
func (x *exchange) spreadRetry(e *fault.Error) *fault.Error {
	if !x.server.PriorityAdmission || x.retryDecided || e.RetryAfter <= 0 {
		return e
	}
	longest := time.Duration(float64(x.timeLeft()) * admit.PatienceShare / (1 + admit.RetryJitter))
	delay := max(admit.MinRetryAfter, min(e.RetryAfter, longest))
	return e.WithRetryAfter(time.Duration(float64(delay) * (1 + admit.RetryJitter*x.server.draw())))
}

// draw returns a random number from 0 up to 1.
func (s *Server) draw() float64 { return float64(s.Random.Uint64()>>11) / (1 << 53) }

// countDecision updates the metrics of the admission.
func (s *Server) countDecision(x *exchange, level admit.Level) {
	share := 1.0
	if !level.Unlimited() {
		share = level.ShareOf(admit.Class{Priority: level.Priority})
	}
	s.Metrics.GetOrCreateGauge(fmt.Sprintf("relay_admission_share{service=%q}", x.service), nil).Set(share)
	if x.decision.Reason == admit.Admitted {
		s.Metrics.GetOrCreateCounter(fmt.Sprintf("relay_admitted_total{route=%q,priority=\"%d\"}", x.route.Name, x.priority())).Inc()
		return
	}
	s.Metrics.GetOrCreateCounter(fmt.Sprintf("relay_not_admitted_total{route=%q,priority=\"%d\",reason=%q}", x.route.Name, x.priority(), x.decision.Reason)).Inc()
}

// logRejection logs a rejection with what it is based on.
func (x *exchange) logRejection(r admit.Request) {
	d := x.decision
	x.server.Log.WithFields(logrus.Fields{
		"request": x.id, "route": x.route.Name, "account": x.account.Name, "priority": r.Class.Priority, "reason": d.Reason.String(),
		"service": d.Service, "share": d.Share, "level_age_ms": d.LevelAge.Milliseconds(), "returned": d.Returned,
		"expected_ms": r.Expected.Milliseconds(), "left_ms": r.Left.Milliseconds(), "retry_ms": d.RetryAfter.Milliseconds(),
	}).Info("request not admitted")
}
