package canary

import "time"

const (
	// maxNodes limits the nodes whose reports an owner keeps.
	maxNodes = 512
	// nodeLifetime is how long a node that no longer reports counts as one of the nodes.
	nodeLifetime = 10 * time.Second
	// recentTime is the age up to which a report is recent, and movedTime the time over
	// which nearly all new work must have gone to the new version.
	recentTime, movedTime = 1200 * time.Millisecond, time.Second
	// maxMarks is the number of reports kept of a node: more than movedTime holds.
	maxMarks = 8
)

// reports are those of all nodes on one order.
type reports struct {
	nodes          map[string]*nodeReports
	sent, canaries int // Of all nodes, also before their restarts.
	lost           int // Allowances of nodes before their restarts.
	last           time.Time
	// promoted is the highest share that another owner granted for a good version.
	promoted float64
}

// nodeReports is what an owner keeps of one node.
type nodeReports struct {
	report    Report // The last one.
	at        time.Time
	rows      map[rowKey]Counts
	allowance int
	marks     []mark // Of the last reports.
}

// mark is what a node had sent at a time.
type mark struct {
	at             time.Time
	sent, canaries int
}

// add records a report. It returns the rows since the node's last one, and false if the
// report is older than that or there are too many nodes.
func (s *reports) add(now time.Time, r Report) (*nodeReports, []Row, bool) {
	n := s.nodes[r.VM]
	switch {
	case n != nil && (r.Started.Before(n.report.Started) || r.Started.Equal(n.report.Started) && r.Sent < n.report.Sent):
		return nil, nil, false
	case n == nil && len(s.nodes) >= maxNodes:
		return nil, nil, false
	case n == nil || r.Started.After(n.report.Started):
		if n != nil {
			s.lost += n.allowance
		}
		n = &nodeReports{rows: make(map[rowKey]Counts), allowance: r.Allowance}
		if r.Phase == Promoting {
			s.promoted = max(s.promoted, r.Share)
		}
		if s.nodes == nil {
			s.nodes = make(map[string]*nodeReports)
		}
		s.nodes[r.VM] = n
	}
	var rows []Row
	for _, row := range r.Rows[:min(len(r.Rows), MaxRows)] {
		key := rowKey{route: row.Route, target: row.Target}
		since := row
		since.Counts = row.minus(n.rows[key])
		if since.Responses > 0 {
			rows = append(rows, since)
			n.rows[key] = row.Counts
		}
	}
	s.sent += r.Sent - n.report.Sent
	s.canaries += r.Canaries - n.report.Canaries
	n.marks = append(n.marks, mark{at: now, sent: r.Sent, canaries: r.Canaries})
	n.marks = n.marks[max(0, len(n.marks)-maxMarks):]
	r.Rows = nil
	n.report, n.at, s.last = r, now, now
	return n, rows, true
}

// oldRuns returns the number of requests that run on targets of other versions, and false if
// a node does not report it. The runs of a node that has stopped reporting count until it is
// taken for dead.
func (s *reports) oldRuns(now time.Time) (int, bool) {
	sum, known := 0, true
	for _, n := range s.nodes {
		switch runs := n.report.OldRuns; {
		case now.Sub(n.at) > nodeLifetime || n.report.Returned:
		case runs == nil:
			known = false
		default:
			sum += max(0, *runs)
		}
	}
	return sum, known
}

// usable returns the number of canary requests that a node is likely to send before its
// next report, half of its present requests.
func (n *nodeReports) usable() int {
	sent := n.report.Sent
	if len(n.marks) > 1 {
		sent -= n.marks[len(n.marks)-2].sent
	}
	return (sent + 1) / 2
}

// recentMarks returns the last mark and the latest one that is at least movedTime older, or
// the oldest one if there is none.
func (n *nodeReports) recentMarks() (first, last mark) {
	first, last = n.marks[0], n.marks[len(n.marks)-1]
	for _, m := range n.marks {
		if last.at.Sub(m.at) >= movedTime {
			first = m
		}
	}
	return first, last
}

// rate returns the requests per second that all nodes have sent lately.
func (s *reports) rate() float64 {
	rate := 0.0
	for _, n := range s.nodes {
		first, last := n.recentMarks()
		if took := last.at.Sub(first.at); took > 0 {
			rate += float64(last.sent-first.sent) / took.Seconds()
		}
	}
	return rate
}

// allowances returns the sum of all allowances.
func (s *reports) allowances() int {
	sum := s.lost
	for _, n := range s.nodes {
		sum += n.allowance
	}
	return sum
}

// returned reports whether the version had the service's requests before the order on
// most nodes that have sent any.
func (s *reports) returned() bool {
	returned, others := 0, 0
	for _, n := range s.nodes {
		switch {
		case n.report.Returned:
			returned++
		case n.report.Sent > 0:
			others++
		}
	}
	return returned > others
}

// current reports whether at least half of the nodes have reported recently. Otherwise
// they may report to another owner.
func (s *reports) current(now time.Time) bool {
	recent, nodes := 0, 0
	for _, n := range s.nodes {
		if age := now.Sub(n.at); age <= recentTime {
			recent++
			nodes++
		} else if age <= nodeLifetime {
			nodes++
		}
	}
	return recent > 0 && 2*recent >= nodes
}

// moved reports whether nearly all new work went to the new version over the last second.
func (s *reports) moved(now time.Time) bool {
	sent, canaries := 0, 0
	for _, n := range s.nodes {
		if now.Sub(n.at) > recentTime || n.report.Returned {
			continue
		}
		first, last := n.recentMarks()
		sent += last.sent - first.sent
		canaries += last.canaries - first.canaries
	}
	return s.current(now) && float64(canaries) >= movedShare*float64(sent)
}
