package place

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotworks/site"
)

const (
	// reportLifetime is how long a report keeps a target out. A target that is well
	// again gets requests after that time, and one that is not is reported again.
	reportLifetime = 1500 * time.Millisecond
	// leavingReportLifetime is the same for the report that a target leaves, which it
	// does not take back. The directory shows it within that time.
	leavingReportLifetime = 5 * time.Second
	// maxReportedShare is the largest share of the targets of a service that reports
	// may keep out. Above it, they are ignored.
	maxReportedShare = 0.5
	// minWeakObservers is the number of nodes of this failure domain, or of other
	// failure domains, that must report a target as unreachable.
	minWeakObservers = 2
	// maxReportsPerTarget limits the reports that are kept of one target.
	maxReportsPerTarget = 8
)

// ReportKind says what a node has found out about a target.
type ReportKind int

// The kinds of reports.
const (
	// Replaced means that another target uses the address, or that no process
	// does: the host has rejected the connection. One report suffices.
	Replaced ReportKind = iota + 1
	// Silent means that no connection could be established. The cause may be the
	// network of the node that reports it, so one report does not suffice.
	Silent
	// Leaving means that the target has said that it leaves. One report suffices.
	Leaving
)

// lifetime returns how long a report of the kind keeps a target out.
func (k ReportKind) lifetime() time.Duration {
	if k == Leaving {
		return leavingReportLifetime
	}
	return reportLifetime
}

// Report says that a node could not use a target. Nodes announce reports to each
// other, so that not each of them has to find out by a request of its own.
type Report struct {
	Target   uint64 // Key of the target and its incarnation, see [TargetKey].
	Kind     ReportKind
	Observer uint16 // Hash of the ID of the VM that reports it.
	Domain   uint16 // Hash of the failure domain of that VM.
}

// TargetKey returns the key that identifies an incarnation of a target in reports.
func TargetKey(target site.Target) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(target.Incarnation))
	_, _ = d.WriteString(target.ID) // Writing to a digest never fails.
	return d.Sum64()
}

// receivedReport is a report with the time at which it was received.
type receivedReport struct {
	Report
	at time.Time
}

func (r receivedReport) expired(now time.Time) bool { return now.Sub(r.at) >= r.Kind.lifetime() }

// Observe records a report of another node that was received at now.
func (t *Table) Observe(now time.Time, r Report) {
	if t.reports == nil {
		t.reports = make(map[uint64][]receivedReport)
	}
	kept := slices.DeleteFunc(t.reports[r.Target], func(o receivedReport) bool {
		return o.Observer == r.Observer && o.Kind == r.Kind || o.expired(now)
	})
	if len(kept) == maxReportsPerTarget {
		kept = kept[1:]
	}
	t.reports[r.Target] = append(kept, receivedReport{Report: r, at: now})
}

// DropReports discards all reports, also those of speeds, for example after a pause of
// this node.
func (t *Table) DropReports() { t.reports, t.speeds = nil, nil }

// Reported reports whether the reports of other nodes keep a target out. A
// successful request of this node outweighs earlier reports.
func (t *Table) Reported(now time.Time, target site.Target, domain uint16) bool {
	list := t.reports[TargetKey(target)]
	if len(list) == 0 {
		return false
	}
	since := t.state(target).succeededAt
	near, far := 0, make(map[uint16]bool) // Observers here; other failure domains that report it.
	for _, r := range list {
		if r.expired(now) || !r.at.After(since) {
			continue
		}
		if r.Kind != Silent {
			return true
		}
		if r.Domain == domain {
			near++
		} else {
			far[r.Domain] = true
		}
	}
	return near >= minWeakObservers || len(far) >= minWeakObservers
}

// reportedOut returns the targets that reports keep out, none if they would keep
// out more than maxReportedShare of them.
func (t *Table) reportedOut(now time.Time, criteria Criteria) map[string]bool {
	if len(t.reports) == 0 {
		return nil
	}
	out := make(map[string]bool)
	for _, target := range criteria.Targets {
		if t.Reported(now, target, NameHash(criteria.Domain)) {
			out[target.ID] = true
		}
	}
	if float64(len(out)) > maxReportedShare*float64(len(criteria.Targets)) {
		return nil
	}
	return out
}

// pruneReports discards the reports that have expired.
func (t *Table) pruneReports(now time.Time) {
	for key, list := range t.reports {
		if !slices.ContainsFunc(list, func(r receivedReport) bool { return !r.expired(now) }) {
			delete(t.reports, key)
		}
	}
}

// NameHash returns the hash of a failure domain, or of the ID of a VM, as used in
// reports.
func NameHash(name string) uint16 { return uint16(xxhash.Sum64String(name) & reportHashMask) }

// reportHashMask limits the hashes in reports to the bits that an announcement has
// for them.
const reportHashMask = 1<<ReportHashBits - 1

// ReportHashBits is the number of bits of the hashes in reports.
const ReportHashBits = 13
