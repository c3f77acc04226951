package burn

import (
	"time"
)

// Change is a configuration that became active.
type Change struct {
	At       time.Time `json:"at"`
	Revision int64     `json:"revision"`
	NoteID   string    `json:"note_id"`
	// DrainedDomains are all failure domains that are drained in this configuration.
	DrainedDomains []string `json:"out,omitempty"`
}

// Drain is a period in which a failure domain was drained, with the requests that
// ended in that period, counted for one objective. While the domain is drained, the
// counts cover the first hour.
type Drain struct {
	Domain    string    `json:"domain"`
	Objective string    `json:"objective"`
	Start     time.Time `json:"out"`
	End       time.Time `json:"back,omitzero"` // Zero while the domain is drained.
	Counts
	// Recovery is the time from Start to the end of the last bucket whose
	// attainment is below the attainment before Start, which may be after End. It
	// is zero if there is no such bucket and negative if the newest one is still
	// below.
	Recovery time.Duration `json:"recovery_ns"`
}

// Drains returns, for each period in which a failure domain was drained according
// to the changes, one Drain for each objective in the snapshot. The changes must be
// in the order of their revisions.
func Drains(s Snapshot, changes []Change) []Drain {
	var list []Drain
	for _, d := range drainPeriods(changes) {
		for _, x := range s.Series {
			if x.Dimension != Total {
				continue
			}
			d.Objective = x.Objective
			list = append(list, measureDrain(d, x.Buckets))
		}
	}
	return list
}

// drainPeriods returns the drains without objective, counts and recovery.
func drainPeriods(changes []Change) []Drain {
	var list []Drain
	ongoing := make(map[string]int)
	for _, c := range changes {
		drained := make(map[string]bool, len(c.DrainedDomains))
		for _, name := range c.DrainedDomains {
			drained[name] = true
			if _, known := ongoing[name]; !known {
				ongoing[name] = len(list)
				list = append(list, Drain{Domain: name, Start: c.At})
			}
		}
		for name, at := range ongoing {
			if !drained[name] {
				list[at].End = c.At
				delete(ongoing, name)
			}
		}
	}
	return list
}

// measureDrain returns d with the counts of its period and the recovery time.
// If the domain is still drained, the period ends longWindow after its start.
func measureDrain(d Drain, buckets []Bucket) Drain {
	begin := d.Start.Truncate(bucketTime).Unix()
	end := d.End
	if end.IsZero() {
		end = time.Unix(begin, 0).Add(longWindow)
	}
	var before Counts
	for _, b := range buckets {
		switch {
		case b.At < begin:
			before = before.plus(b.Counts)
		case b.At <= end.Unix():
			d.Counts = d.plus(b.Counts)
		}
	}
	d.Recovery = recoveryTime(d.Start, begin, before.attainment(), buckets)
	return d
}

// recoveryTime returns the time from the start to the end of the last bucket
// below the attainment, or -1 if that is the newest bucket.
func recoveryTime(start time.Time, begin int64, attainment float64, buckets []Bucket) time.Duration {
	last := time.Duration(0)
	for i, b := range buckets {
		if b.At < begin || b.attainment() >= attainment {
			continue
		}
		if i == len(buckets)-1 {
			return -1
		}
		last = time.Unix(b.At, 0).Add(bucketTime).Sub(start)
	}
	return last
}
