package trial

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"bergamotworks/note"
)

// raceResult is the outcome of two conflicting notes.
type raceResult struct {
	accepted int
	inForce  bool // The accepted note is the one in force.
}

// racer offers one of the notes.
type racer struct {
	system System
	change note.Note
	err    error
}

func (r *racer) run(ctx context.Context, group *sync.WaitGroup) {
	defer group.Done()
	r.err = r.system.Submit(ctx, r.change)
}

// raceTimeout bounds the wait for an accepted note to be in force.
const raceTimeout = 5 * time.Second

// race offers two notes that change one account's weight on one base revision.
func (o *operator) race(ctx context.Context, index int) error {
	config := o.load.system.Config()
	names := slices.Sorted(maps.Keys(config.Sections.Accounts))
	name := names[index%len(names)]
	var group sync.WaitGroup
	racers := []*racer{o.racer(config, name, 1), o.racer(config, name, 2)}
	for _, r := range racers {
		group.Add(1)
		go r.run(ctx, &group)
	}
	group.Wait()
	result := raceResult{}
	for _, r := range racers {
		if r.err == nil {
			result.accepted++
			result.inForce = o.awaitWeight(ctx, name, r.change.Changed.Accounts[name].Weight)
		}
	}
	o.races = append(o.races, result)
	return nil
}

func (o *operator) racer(config note.Config, account string, more float64) *racer {
	changed := config.Sections.Accounts[account]
	changed.Weight += more
	return &racer{system: o.load.system, change: note.Note{
		ID:           o.noteID(),
		BaseRevision: config.Revision,
		Author:       "trial",
		Changed:      note.Sections{Accounts: map[string]note.ClientAccount{account: changed}},
	}}
}

// awaitWeight waits until an account's weight is in force.
func (o *operator) awaitWeight(ctx context.Context, account string, weight float64) bool {
	limit := o.load.clock.Now().Add(raceTimeout)
	for o.load.clock.Now().Before(limit) && ctx.Err() == nil {
		if o.load.system.Config().Sections.Accounts[account].Weight == weight {
			return true
		}
		o.load.pause(ctx)
	}
	return false
}
