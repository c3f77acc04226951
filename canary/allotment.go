package canary

import "time"

// allot gives a node with too little traffic for the share an allowance out of a quarter
// of the slack. Two owners at once give half of it. Half of the allowances are kept for
// the later part of the observation.
func (m *Machine) allot(now time.Time, n *nodeReports) {
	if m.phase != Observing || m.judge.responses() >= thinResponses {
		return
	}
	used := max(0, n.report.Canaries-int(m.share*float64(n.report.Sent)))
	if n.usable() == 0 {
		n.allowance = min(n.allowance, used) // Another node can use it.
	}
	if used < n.allowance {
		return
	}
	limit := m.Settings.Slack / 4
	if window := m.promotionStart().Sub(m.phaseSince); window > shortWindow {
		limit *= min(1, 0.5+0.5*float64(now.Sub(m.phaseSince))/float64(window))
	}
	n.allowance += max(0, min(n.usable(), int(limit)-m.reports.allowances()))
}

// Grant returns the reply to the report that the last Step handled, with the allowance of
// its node. After any other event, the allowance is zero.
func (m *Machine) Grant(now time.Time) Grant {
	grant := Grant{Order: m.order.ID(), Phase: m.phase, Share: m.share, ValidFor: GrantLifetime, Excluded: m.excluded}
	switch {
	case now.Before(m.gatherUntil) && m.opened():
		grant.Share = 0
	case m.phase == Observing:
		grant.Share, grant.NextShare, grant.NextIn = m.observingShare(now)
	}
	if m.phase == Promoting && m.share >= 1 {
		grant.CompleteIn = max(1, m.completion().Sub(now))
	}
	if n := m.reports.nodes[m.replyTo]; n != nil {
		grant.Allowance = n.allowance
	}
	return grant
}

// Evidence summarises what the machine knows of the order.
func (m *Machine) Evidence() Summary {
	s := Summary{Order: m.order.ID(), Service: m.order.Service, Version: m.order.Version, Phase: m.phase, Share: m.share,
		Nodes: len(m.reports.nodes), Verdict: m.finding.Verdict, Reason: m.finding.Reason, Excluded: m.excluded,
		Age: m.lastStep.Sub(m.firstSeen), ReportAge: m.lastStep.Sub(m.reports.last)}
	s.Sent, s.Canaries = m.reports.sent, m.reports.canaries
	s.OldRuns, _ = m.reports.oldRuns(m.lastStep)
	s.Old, s.New = m.judge.totals()
	return s
}
