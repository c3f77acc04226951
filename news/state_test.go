package news_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"bergamotworks/news"
	"bergamotworks/script"
	"bergamotworks/site"
)

// stateCase is a sequence of snapshots and failures that one state applies.
type stateCase struct {
	Description string      `json:"load"`
	Steps       []stateStep `json:"steps"`
}

// stateStep is one event and what is active after it.
type stateStep struct {
	AtMS     int64 `json:"at_ms"`
	Failed   bool  `json:"failed"` // The store could not be read.
	FromPeer bool  `json:"heard"`  // The snapshot comes from another node.
	// PeerReadMS is the time at which the other node has read the store; zero if it
	// has not.
	PeerReadMS int64 `json:"peer_read_ms"`
	// Epoch is that of the parts of the snapshot. Without one, the store has no epochs.
	Epoch int64 `json:"epoch"`
	// GraceMS is the remaining grace period of the other node.
	GraceMS int64 `json:"grace_ms"`
	// ConfigRevision, Targets and DrainedDomains are the snapshot; a revision of
	// zero leaves its part out.
	ConfigRevision     int64    `json:"version"`
	DirectoryRevision  int64    `json:"revision"`
	Targets            []string `json:"targets"`
	DrainedRevision    int64    `json:"departed_at"`
	DrainedDomains     []string `json:"departed"`
	WantConfigRevision int64    `json:"want_version"`
	WantUsable         []string `json:"want_usable"`
	WantNone           bool     `json:"want_none"` // No directory is active.
}

func TestState(t *testing.T) {
	script.Run(t, "testdata/*.json", testState)
}

func testState(t *testing.T, c stateCase) {
	var s news.State
	start := time.Unix(1000, 0)
	for i, p := range c.Steps {
		now := start.Add(time.Duration(p.AtMS) * time.Millisecond)
		switch {
		case p.Failed: // Nothing is applied.
		case p.FromPeer:
			sn := p.snapshot(now)
			if p.GraceMS > 0 {
				sn.GraceEnd = now.Add(time.Duration(p.GraceMS) * time.Millisecond)
			}
			if p.PeerReadMS > 0 {
				sn.ReadAt = start.Add(time.Duration(p.PeerReadMS) * time.Millisecond)
			}
			s.Apply(sn)
		default:
			sn := p.snapshot(now)
			sn.ReadAt = now
			s.Apply(sn)
		}
		var usable []string
		for _, target := range s.Directory().Usable("svc") {
			usable = append(usable, target.ID)
		}
		got := fmt.Sprint(s.Config().Revision, " ", s.Directory().Loaded())
		if diff := cmp.Diff(fmt.Sprint(p.WantConfigRevision, " ", !p.WantNone), got); diff != "" {
			t.Errorf("step %d: configuration revision, directory loaded (-want +got):\n%s", i, diff)
		}
		if diff := cmp.Diff(p.WantUsable, usable, cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("step %d: usable targets (-want +got):\n%s", i, diff)
		}
	}
}

// snapshot returns the snapshot of the step. A target is written ID@DOMAIN, followed by
// "!" if it drains and by "+" if it is a later incarnation.
func (p stateStep) snapshot(now time.Time) news.Snapshot {
	sn := news.Snapshot{AppliedAt: now}
	if p.ConfigRevision > 0 {
		sn.Config = site.NewConfig(site.Config{Revision: p.ConfigRevision})
	}
	if p.DrainedRevision > 0 {
		sn.DrainedDomains = &news.DrainedDomains{Domains: p.DrainedDomains, Position: site.Position{Epoch: p.Epoch, Revision: p.DrainedRevision}}
	}
	if p.DirectoryRevision > 0 {
		d := site.Directory{Position: site.Position{Epoch: p.Epoch, Revision: p.DirectoryRevision}}
		for _, text := range p.Targets {
			text, restarted := strings.CutSuffix(text, "+")
			text, draining := strings.CutSuffix(text, "!")
			id, domain, _ := strings.Cut(text, "@")
			target := site.Target{ID: id, Service: "svc", Domain: domain, Address: id, Draining: draining, Incarnation: 1}
			if restarted {
				target.Incarnation = 2
			}
			d.Targets = append(d.Targets, target)
		}
		sn.Directory = site.NewDirectory(d)
	}
	return sn
}
