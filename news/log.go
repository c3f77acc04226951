package news

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// registerGauges registers the ages of both parts of the state and the revision of
// the configuration, zero if there is none.
func (s *Service) registerGauges() {
	s.Metrics.GetOrCreateGauge("news_directory_age_seconds", func() float64 { return s.TimeSinceStoreRead().Seconds() })
	s.Metrics.GetOrCreateGauge("news_configuration_revision", func() float64 { return float64(s.Config().Revision) })
	s.Metrics.GetOrCreateGauge("news_store_epoch", func() float64 { return float64(s.epoch()) })
	s.Metrics.GetOrCreateGauge("news_operator_state_age_seconds", func() float64 { return s.OperatorStateAge().Seconds() })
}

// recordFetch records the duration of a fetch from another node and logs why it
// failed.
func (s *Service) recordFetch(ctx context.Context, vm string, took time.Duration, err error) {
	s.Metrics.GetOrCreateHistogram("news_fetch_seconds").Update(took.Seconds())
	if err == nil || ctx.Err() != nil {
		return
	}
	s.Metrics.GetOrCreateCounter("news_failed_fetches_total").Inc()
	s.Log.WithFields(logrus.Fields{
		"peer": vm, "ms": took.Milliseconds(), "operator_age_ms": s.OperatorStateAge().Milliseconds(), "error": err.Error(),
	}).Info("failed to fetch state from a peer")
}

// logStart logs how long this node took until it had its first state and knew the
// store readers.
func (s *Service) logStart(took time.Duration) {
	loaded := s.Config().Loaded() && s.Directory().Loaded()
	s.Log.WithFields(logrus.Fields{"loaded": loaded, "confirmed": s.confirmed(), "ms": took.Milliseconds(), "live": len(s.View().Live())}).Info("started following the store")
}

// logOldState logs that the state of a store reader is too old to rely on.
func (s *Service) logOldState(vm string, u update) {
	s.Metrics.GetOrCreateCounter("news_old_fetches_total").Inc()
	s.Log.WithFields(logrus.Fields{
		"peer": vm, "age_ms": u.Age.Milliseconds(), "operator_age_ms": u.OperatorAge.Milliseconds(),
	}).Info("state of a store reader is too old")
}

// recordWatchError records and logs a failed watch.
func (s *Service) recordWatchError(ctx context.Context, took time.Duration, err error) {
	if ctx.Err() != nil {
		return
	}
	s.Metrics.GetOrCreateCounter("news_failed_watches_total").Inc()
	s.Log.WithFields(logrus.Fields{
		"ms": took.Milliseconds(), "operator_age_ms": s.OperatorStateAge().Milliseconds(), "error": err.Error(),
	}).Info("watch of the operator state failed")
}

// recordReadError counts and logs a failed read of the store.
func (s *Service) recordReadError(ctx context.Context, subject string, err error) {
	if ctx.Err() != nil {
		return
	}
	age := s.TimeSinceStoreRead()
	s.Metrics.GetOrCreateCounter("news_failed_reads_total").Inc()
	s.Log.WithFields(logrus.Fields{"what": subject, "silent_ms": age.Milliseconds(), "error": err.Error()}).Warn("failed to read the store")
}

// logChange logs what a merge has changed. From is "store" or the ID of the VM that
// sent the state.
func (s *Service) logChange(c Change, from string) {
	if c.Restored {
		s.Metrics.GetOrCreateCounter("news_store_epoch_changes_total").Inc()
		s.Log.WithFields(logrus.Fields{
			"epoch_before": c.EpochBefore, "epoch": s.epoch(), "revision": s.Directory().Revision, "version": s.Config().Revision,
			"held": c.Held, "from": from, "operator_age_ms": s.OperatorStateAge().Milliseconds(),
		}).Warn("store has lost changes and is in a new epoch")
	}
	if c.Grace > 0 {
		s.Metrics.GetOrCreateCounter("news_grace_periods_total").Inc()
		s.Log.WithFields(logrus.Fields{"grace_ms": reregisterGrace.Milliseconds(), "silent_ms": c.Grace.Milliseconds(), "from": from}).Info("store is readable again; entries that expire are retained")
	}
	if c.Config {
		config, age := s.Config(), s.OperatorStateAge() // The age before this change.
		s.Log.WithFields(logrus.Fields{"version": config.Revision, "routes": len(config.Routes), "accounts": len(config.Accounts), "from": from, "epoch": s.epoch(), "operator_age_ms": age.Milliseconds()}).Info("configuration became active")
	}
	if c.DrainedDomains {
		d := s.Directory()
		s.Log.WithFields(logrus.Fields{"domains": slices.Sorted(maps.Keys(d.DrainedDomains)), "revision": d.Revision, "epoch": d.Epoch, "from": from}).Info("drained failure domains changed")
	}
	if c.Rollouts {
		rollouts := s.Rollouts()
		s.Log.WithFields(logrus.Fields{"orders": len(rollouts), "from": from, "operator_age_ms": s.OperatorStateAge().Milliseconds()}).Info("rollouts or their states changed")
		for _, r := range rollouts {
			s.Log.WithFields(logrus.Fields{
				"service": r.Service, "version": r.Version, "order": r.Revision, "state": r.State.String(), "from": from, "operator_age_ms": s.OperatorStateAge().Milliseconds(),
			}).Info("rollouts changed")
		}
	}
	if len(c.Added)+len(c.Removed) > 0 {
		s.Log.WithFields(logrus.Fields{"joined": firstIDs(c.Added), "left": firstIDs(c.Removed), "revision": s.Directory().Revision, "epoch": s.Directory().Epoch, "from": from}).Info("targets changed")
	}
}

// maxLoggedIDs limits the identifiers in one log entry.
const maxLoggedIDs = 8

// firstIDs returns at most maxLoggedIDs identifiers.
func firstIDs(ids []string) []string { return ids[:min(len(ids), maxLoggedIDs)] }
