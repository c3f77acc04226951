package trial

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"bergamotworks/note"
)

// conflictResult is the outcome of two conflicting notes. Exactly one of them
// must be accepted and become active.
type conflictResult struct {
	accepted int
	active   bool // The accepted note became active.
}

// submission submits one of the notes.
type submission struct {
	system System
	change note.Note
	err    error
}

func (s *submission) run(ctx context.Context, group *sync.WaitGroup) {
	defer group.Done()
	s.err = s.system.Submit(ctx, s.change)
}

// activationTimeout limits the wait for an accepted note to become active.
const activationTimeout = 5 * time.Second

// submitConflictingNotes submits two notes at the same time that change the weight
// of the same client account on the same base revision.
func (r *eventRunner) submitConflictingNotes(ctx context.Context, index int) error {
	config := r.load.system.Config()
	names := slices.Sorted(maps.Keys(config.Sections.Accounts))
	name := names[index%len(names)]
	var group sync.WaitGroup
	submissions := []*submission{r.newSubmission(config, name, 1), r.newSubmission(config, name, 2)}
	for _, s := range submissions {
		group.Add(1)
		go s.run(ctx, &group)
	}
	group.Wait()
	result := conflictResult{}
	for _, s := range submissions {
		if s.err == nil {
			result.accepted++
			result.active = r.awaitWeight(ctx, name, s.change.Changed.Accounts[name].Weight)
		}
	}
	r.conflicts = append(r.conflicts, result)
	return nil
}

func (r *eventRunner) newSubmission(config note.Config, account string, increase float64) *submission {
	changed := config.Sections.Accounts[account]
	changed.Weight += increase
	return &submission{system: r.load.system, change: note.Note{
		ID:           r.noteID(),
		BaseRevision: config.Revision,
		Author:       "trial",
		Changed:      note.Sections{Accounts: map[string]note.ClientAccount{account: changed}},
	}}
}

// awaitWeight waits until the active configuration has the account's weight. It
// reports false after the timeout.
func (r *eventRunner) awaitWeight(ctx context.Context, account string, weight float64) bool {
	deadline := r.load.clock.Now().Add(activationTimeout)
	for r.load.clock.Now().Before(deadline) && ctx.Err() == nil {
		if r.load.system.Config().Sections.Accounts[account].Weight == weight {
			return true
		}
		r.load.pause(ctx)
	}
	return false
}
