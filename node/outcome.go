package node

import (
	"slices"
	"sync"
	"time"

	"bergamotworks/admin"
	"bergamotworks/burn"
	"bergamotworks/flow"
	"bergamotworks/note"
)

// maxChanges is the maximum number of configuration changes that a node retains.
const maxChanges = 256

// changeLog holds the changes made by the last maxChanges configurations that
// became active on this node.
type changeLog struct {
	mutex   sync.Mutex
	changes []burn.Change
}

func (c *changeLog) add(now time.Time, config note.Config) {
	change := burn.Change{At: now, Revision: config.Revision, NoteID: config.NoteID}
	for name, d := range config.Sections.Domains {
		if d.State != note.InService {
			change.DrainedDomains = append(change.DrainedDomains, name)
		}
	}
	slices.Sort(change.DrainedDomains)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.changes) >= maxChanges {
		c.changes = slices.Delete(c.changes, 0, 1)
	}
	c.changes = append(c.changes, change)
}

func (c *changeLog) list() []burn.Change {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.Clone(c.changes)
}

// recordOutcome records the outcome of a request.
func (n *Node) recordOutcome(outcome flow.Outcome) {
	n.burns.Record(burnOutcome(outcome))
}

// burnOutcome converts the outcome of a request into the form that package burn
// records. The request is attributed to the failure domain of its last stage.
// Stages with a recorded result are skipped.
func burnOutcome(o flow.Outcome) burn.Outcome {
	out := burn.Outcome{
		At: o.At, Pipeline: o.Pipeline, Class: o.Class, Account: o.Account, Attained: o.Attained,
		Rejected: o.Rejected, Verdict: o.Verdict, Latency: o.Latency, FirstToken: o.FirstToken,
		Stages: make([]burn.StageCost, 0, len(o.Stages)),
	}
	seen := make(map[string]bool, len(o.Stages))
	for _, s := range o.Stages {
		if s.Recorded {
			continue
		}
		out.Retried = out.Retried || seen[s.Stage]
		seen[s.Stage] = true
		if s.Domain != "" {
			out.Domain = s.Domain
		}
		out.Stages = append(out.Stages, burn.StageCost{
			Stage: s.Stage, Service: s.Service, Domain: s.Domain, Target: s.Target,
			TargetTime: time.Duration(s.ServiceMS * float64(time.Millisecond)), Tokens: s.Tokens, Wasted: s.Wasted,
		})
	}
	return out
}

// Burn returns a snapshot of the node's service-level objectives and the
// configuration changes that became active on it.
func (n *Node) Burn() (admin.BurnState, error) {
	snapshot, err := n.burns.Snapshot(n.Clock.Now())
	if err != nil {
		return admin.BurnState{}, err
	}
	return admin.BurnState{Snapshot: snapshot, Changes: n.changes.list()}, nil
}
