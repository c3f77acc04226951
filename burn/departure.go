package burn

import (
	"time"
)

// Change is a configuration that came into force.
type Change struct {
	At       time.Time `json:"at"`
	Revision int64     `json:"revision"`
	NoteID   string    `json:"note_id"`
	// Out names the failure domains that are out of service since then.
	DrainedDomains []string `json:"out,omitempty"`
}

// Drain is the time in which a failure domain was out of service, with
// what became of the requests that ended in it and until attainment was back.
type Drain struct {
	Domain    string    `json:"domain"`
	Objective string    `json:"objective"`
	Start     time.Time `json:"out"`
	End       time.Time `json:"back,omitzero"` // Zero while the domain is out.
	Counts
	// Recovery is the time from the departure until every later bucket reached
	// the attainment of the time before; negative if it is not back yet.
	Recovery time.Duration `json:"recovery_ns"`
}

// Drains finds the departures in the changes, which are in the order of
// their revisions, and judges each by the totals of every objective.
func Drains(s Snapshot, changes []Change) []Drain {
	var list []Drain
	for _, d := range spans(changes) {
		for _, x := range s.Series {
			if x.Dimension != Total {
				continue
			}
			d.Objective = x.Objective
			list = append(list, judge(d, x.Buckets))
		}
	}
	return list
}

// spans returns the departures without their counts.
func spans(changes []Change) []Drain {
	var list []Drain
	open := make(map[string]int)
	for _, c := range changes {
		out := make(map[string]bool, len(c.DrainedDomains))
		for _, name := range c.DrainedDomains {
			out[name] = true
			if _, known := open[name]; !known {
				open[name] = len(list)
				list = append(list, Drain{Domain: name, Start: c.At})
			}
		}
		for name, at := range open {
			if !out[name] {
				list[at].End = c.At
				delete(open, name)
			}
		}
	}
	return list
}

// judge counts the requests of a departure and finds when attainment was back.
func judge(d Drain, buckets []Bucket) Drain {
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
	d.Recovery = recovery(d.Start, begin, before.attainment(), buckets)
	return d
}

// recovery returns the time to the end of the last bucket below the attainment.
func recovery(out time.Time, begin int64, attainment float64, buckets []Bucket) time.Duration {
	last := time.Duration(0)
	for i, b := range buckets {
		if b.At < begin || b.attainment() >= attainment {
			continue
		}
		if i == len(buckets)-1 {
			return -1
		}
		last = time.Unix(b.At, 0).Add(bucketTime).Sub(out)
	}
	return last
}
