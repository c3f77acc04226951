package relay

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"bergamotworks/fault"
	"bergamotworks/site"
)

// counters holds the metrics of a server, created once.
type counters struct {
	requests    *metrics.Counter
	allHeld     *metrics.Counter            // Requests rejected because the targets that are left leave or ask to wait.
	shortages   map[string]*metrics.Counter // By outcome, see recordShortage.
	slowClients *metrics.Counter            // Responses whose client was found to read slowly.
	abandoned   *metrics.Counter            // Of them, those that were given up.
	failures    map[fault.Kind]*metrics.Counter
	responses   [6]*metrics.Counter // By the first digit of the status; zero if none was sent.
	durations   map[site.Kind]*metrics.Histogram
}

func (c *counters) init(set *metrics.Set) {
	c.requests = set.NewCounter("relay_requests_total")
	c.allHeld = set.NewCounter("relay_requests_all_targets_held_total")
	c.shortages = make(map[string]*metrics.Counter)
	for _, o := range []string{"idle", "rejected", "closed", "request"} {
		c.shortages[o] = set.NewCounter(fmt.Sprintf("relay_shortages_total{outcome=%q}", o))
	}
	c.slowClients = set.NewCounter("relay_slow_clients_total")
	c.abandoned = set.NewCounter("relay_slow_clients_abandoned_total")
	c.failures = make(map[fault.Kind]*metrics.Counter)
	for _, k := range fault.KindValues() {
		c.failures[k] = set.NewCounter(fmt.Sprintf("relay_failures_total{kind=%q}", k))
	}
	for i := range c.responses {
		c.responses[i] = set.NewCounter(fmt.Sprintf(`relay_answers_total{status="%dxx"}`, i))
	}
	c.durations = make(map[site.Kind]*metrics.Histogram)
	for _, k := range site.KindValues() {
		c.durations[k] = set.NewHistogram(fmt.Sprintf("relay_request_seconds{kind=%q}", k))
	}
}

func (c *counters) recordFailure(k fault.Kind) { c.failures[k].Inc() }

func (c *counters) recordEnd(k site.Kind, status int, took time.Duration) {
	c.responses[min(5, status/100)].Inc()
	c.durations[k].Update(took.Seconds())
}

// logFailedAttempt logs an attempt that failed or was rejected by the target.
func (s *Server) logFailedAttempt(x *exchange, t site.Target, err error) {
	s.Log.WithFields(logrus.Fields{
		"request": x.id, "route": x.route.Name, "target": t.ID, "address": t.Address, "send": x.attempts,
		"directory": s.Directory().Revision, "verdict": fault.VerdictOf(err).String(), "error": err.Error(),
	}).Warn("attempt failed")
}
