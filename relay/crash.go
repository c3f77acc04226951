package relay

import (
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotworks/fault"
	"bergamotworks/poison"
	"bergamotworks/site"
)

const (
	// crashWindow is the time in which losses of one target by requests with the
	// same content count as one.
	crashWindow = 250 * time.Millisecond
	// maxLoggedPromptParts limits the length in bytes of the parts of a prompt in a
	// log line.
	maxLoggedPromptParts = 256
)

// loggedPromptParts returns the parts of the prompt as the client has sent them,
// for log lines.
func (x *exchange) loggedPromptParts() string {
	parts := x.request.Headers.Get(x.server.Names.PromptParts)
	return parts[:min(len(parts), maxLoggedPromptParts)]
}

// checkQuarantine returns an error if requests with the same content, or with a
// part of the same prompt, have repeatedly crashed their targets. A request that is
// let through as a probe has a single attempt.
func (x *exchange) checkQuarantine() error {
	s := x.server
	admitted := x.probe != 0 && x.attempts == 0
	if admitted || !s.hasLosses() {
		return nil
	}
	fingerprints, atService, now := x.fingerprints(), x.serviceFingerprint(), s.Clock.Now()
	s.mutex.Lock()
	v := s.losses.Check(now, fingerprints, s.probes)
	if v.Standing != poison.Quarantined {
		v = s.losses.Check(now, []uint64{atService}, s.probes)
	}
	s.mutex.Unlock()
	s.announce(v.Announce)
	if v.Standing != poison.Quarantined {
		return nil
	}
	fields := logrus.Fields{"request": x.id, "fingerprint": v.Fingerprint, "content": !slices.Contains(fingerprints[1:], v.Fingerprint), "probe": v.Probe, "prompt_parts": x.loggedPromptParts()}
	s.Log.WithFields(fields).Info("request is quarantined")
	s.Metrics.GetOrCreateCounter(fmt.Sprintf("relay_quarantined_requests_total{probe=\"%t\"}", v.Probe)).Inc()
	if v.Probe {
		x.probe = v.Fingerprint
		return nil
	}
	return fault.New(fault.Quarantined, fault.NotRun, "requests with this content or a part of this prompt have crashed their targets")
}

// probes reports whether this node is the one that lets a request with a
// quarantined fingerprint through now and then.
func (s *Server) probes(fingerprint uint64) bool {
	view := s.View()
	if view.Unconfirmed {
		return false
	}
	owner, ok := view.Owner(fmt.Sprintf("fingerprint/%x", fingerprint))
	return ok && owner.ID == s.Self
}

// recordLoss records that the connection to a target was lost while it ran the
// request, and announces what it says about the request to the other nodes.
func (x *exchange) recordLoss(t site.Target) {
	s := x.server
	now, fingerprints := s.Clock.Now(), x.fingerprints()
	content := max(poison.MinContent, uint32(fingerprints[0]))
	incarnation := incarnationHash(t, now)
	crash := hash32(fmt.Sprintf("%s/%d", t.ID, now.UnixNano()/int64(crashWindow)))
	losses := []poison.Loss{
		{Fingerprint: x.serviceFingerprint(), Target: crash, Content: poison.ContentAtService, At: now},
		{Fingerprint: fingerprints[0], Target: crash, Content: poison.ContentAnywhere, At: now},
	}
	for _, f := range fingerprints[1:] {
		losses = append(losses, poison.Loss{Fingerprint: f, Target: incarnation, Content: content, At: now})
	}
	var announced []poison.Evidence
	s.mutex.Lock()
	for _, l := range losses {
		announced = append(announced, s.losses.RecordLoss(now, l)...)
	}
	s.losses.RecordProbeLoss(now, x.probe)
	standing := s.losses.Standing(now, fingerprints)
	s.mutex.Unlock()
	s.Log.WithFields(logrus.Fields{
		"request": x.id, "target": t.ID, "fingerprint": fingerprints[0], "standing": standing.String(), "prompt_parts": x.loggedPromptParts(), "sends": x.attempts,
	}).Info("target connection lost during a request")
	s.announce(announced)
}

// recordCompletion records that a target has responded to the request. A successful
// response clears all its fingerprints, and a failure that of its content.
func (x *exchange) recordCompletion() {
	s := x.server
	fingerprints := x.completedFingerprints()
	var cleared []poison.Evidence
	now := s.Clock.Now()
	s.mutex.Lock()
	for _, f := range fingerprints {
		cleared = append(cleared, s.losses.RecordCompletion(now, f)...)
	}
	s.mutex.Unlock()
	if len(cleared) == 0 {
		return
	}
	s.Log.WithFields(logrus.Fields{"request": x.id, "target": x.target, "cleared": len(cleared), "prompt_parts": x.loggedPromptParts()}).Info("request completed; what it has in common with others did not crash their targets")
	s.announce(cleared)
}

// hasLosses reports whether anything is known of any fingerprint. While there is
// nothing, requests need no fingerprints.
func (s *Server) hasLosses() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.losses.Empty(s.Clock.Now())
}

// lossCount returns the number of losses that count against the content of
// requests.
func (s *Server) lossCount() float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return float64(s.losses.LossCount(s.Clock.Now()))
}

// quarantineCount returns the number of quarantined fingerprints.
func (s *Server) quarantineCount() float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return float64(s.losses.QuarantineCount(s.Clock.Now()))
}
