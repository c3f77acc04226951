package relay

import (
	"fmt"
	"net/http"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"bergamotworks/place"
	"bergamotworks/ports"
	"bergamotworks/site"
	"bergamotworks/wire"
)

// maxLoggedTargets limits the targets of which it is remembered that a malformed notice
// has been logged.
const maxLoggedTargets = 256

// TargetGuard applies an Admission to all calls of a [wire.Client] to targets, and
// records what the targets say of themselves in their responses. The exported fields
// are set before the first call.
type TargetGuard struct {
	Admission *place.Admission
	Names     HeaderNames
	Directory func() site.Directory
	Clock     ports.Clock
	Log       *logrus.Entry
	Metrics   *metrics.Set
	// OnLeaving is called when a target has said for the first time that it leaves;
	// may be nil.
	OnLeaving func(site.Target)

	mutex     sync.Mutex
	malformed map[string]bool // IDs of targets whose malformed notice has been logged.
}

var _ wire.Guard = (*TargetGuard)(nil)

// Admit implements [wire.Guard].
func (g *TargetGuard) Admit(target site.Target) error {
	err := g.Admission.Admit(g.Clock.Now(), target)
	if err != nil {
		g.Metrics.GetOrCreateCounter("relay_calls_held_before_send_total").Inc()
	}
	return err
}

// Observe implements [wire.Guard].
func (g *TargetGuard) Observe(target site.Target, status int, headers wire.Headers) {
	now := g.Clock.Now()
	notice, err := g.Names.notice(now, status, headers)
	if err != nil {
		g.logMalformed(target, err)
	}
	if status == http.StatusMisdirectedRequest {
		target = g.responder(target, headers)
	}
	if target.ID == "" {
		return
	}
	hold, changed := g.Admission.Observe(now, target, notice)
	if !changed {
		return
	}
	g.Log.WithFields(logrus.Fields{
		"target": target.ID, "incarnation": target.Incarnation, "service": target.Service, "status": status, "reason": hold.Reason.String(),
		"wait_ms": notice.Wait.Milliseconds(), "until": hold.Until,
	}).Info("target is held: it gets no new calls")
	g.Metrics.GetOrCreateCounter(fmt.Sprintf("relay_target_holds_total{reason=%q}", hold.Reason)).Inc()
	if hold.Reason == place.TargetLeaving && g.OnLeaving != nil {
		g.OnLeaving(target)
	}
}

// responder returns the target that has sent a response to a call that was meant for
// another one at its address. It has no ID if the response names none.
func (g *TargetGuard) responder(called site.Target, headers wire.Headers) site.Target {
	id := headers.Get(g.Names.Responder)
	if t, ok := g.Directory().Find(id); ok && t.Address == called.Address {
		return t
	}
	return site.Target{ID: id, Address: called.Address}
}

// logMalformed logs a malformed notice, once for each target.
func (g *TargetGuard) logMalformed(target site.Target, err error) {
	g.Metrics.GetOrCreateCounter("relay_malformed_notices_total").Inc()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.malformed[target.ID] {
		return
	}
	if g.malformed == nil || len(g.malformed) >= maxLoggedTargets {
		g.malformed = make(map[string]bool)
	}
	g.malformed[target.ID] = true
	g.Log.WithFields(logrus.Fields{"target": target.ID, "error": err.Error()}).Warn("ignoring the time for which a target asks to wait")
}

// registerHolds adds gauges of the targets that are held, by reason.
func (g *TargetGuard) registerHolds() {
	for _, r := range place.HoldReasonValues() {
		if r == place.NotHeld {
			continue
		}
		h := holdGauge{guard: g, reason: r}
		g.Metrics.NewGauge(fmt.Sprintf("relay_targets_held{reason=%q}", r), h.count)
	}
}

// holdGauge counts the targets that are held for a reason.
type holdGauge struct {
	guard  *TargetGuard
	reason place.HoldReason
}

func (h holdGauge) count() float64 {
	n := 0
	for _, t := range h.guard.Admission.Holds(h.guard.Clock.Now()) {
		if t.Hold.Reason == h.reason {
			n++
		}
	}
	return float64(n)
}
