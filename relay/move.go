package relay

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotworks/fault"
	"bergamotworks/move"
	"bergamotworks/place"
	"bergamotworks/site"
)

const (
	// moveCheckInterval is the time between two checks whether runs are to be moved.
	moveCheckInterval = 200 * time.Millisecond
	// maxCopyTime bounds a call that copies a run which continues meanwhile, and
	// maxStopTime the calls that stop a run, whose stream stands still from then on.
	maxCopyTime = 10 * time.Second
	maxStopTime = 2 * time.Second
	// maxStopCalls and stopInterval limit the calls to stop a run whose state is not
	// known after the call before.
	maxStopCalls = 4
	stopInterval = 100 * time.Millisecond
	// freeTimeout bounds a call to free a copy, for which a shutdown waits. Otherwise the
	// copy expires.
	freeTimeout = 500 * time.Millisecond
)

// Mover copies the memory of runs between targets.
type Mover interface {
	// Copy copies the memory of the run with the given identifier of its request. With
	// last, the run stops first. An error of kind fault.Conflict means that another
	// target has the address of the source.
	Copy(ctx context.Context, source site.Target, run string, destination site.Target, last bool) (move.CopyResult, error)
	// Free frees a copy at a target.
	Free(ctx context.Context, target site.Target, id string) error
}

// Replacer says which targets a rollout is about to replace, so that their runs must move.
type Replacer interface {
	// Leaving reports whether a target is about to be stopped because its version is being
	// replaced.
	Leaving(now time.Time, target site.Target) bool
}

// moves is the state of a server that concerns copies of runs. It is guarded by the
// server's mutex.
type moves struct {
	policy   move.Policy
	count    uint64            // Number of runs so far; makes their identifiers unique.
	live     map[*liveRun]bool // Runs that may be moved.
	watching bool              // Server.loopMoves is running.
	pruned   site.Position     // Position of the directory by which the policy was pruned.

	context context.Context // Of the calls that move runs; canceled when the server is closed.
	cancel  context.CancelFunc
}

// stopResult is what is known of a run that its source was told to stop.
type stopResult struct {
	known  bool   // The run has ended at the source; otherwise it may still run there.
	gone   bool   // The source itself is gone.
	handle string // Identifies the copy; empty if there is none.
	copied bool   // The destination has the copy; otherwise only the source has it.
}

// stopRun tells the source to stop a run and copy it to the destination until the state of
// the run is known.
func (s *Server) stopRun(ctx context.Context, source site.Target, id string, destination site.Target) stopResult {
	ctx, cancel := context.WithTimeout(ctx, maxStopTime)
	defer cancel()
	for range maxStopCalls {
		r, err := s.Mover.Copy(ctx, source, id, destination, true)
		switch {
		case err != nil && isGone(err):
			return stopResult{known: true, gone: true}
		case err == nil && r.State == move.CopyNoRun:
			return stopResult{known: true}
		case err == nil && r.Handle != "":
			return stopResult{known: true, handle: r.Handle, copied: r.State == move.CopyMade}
		}
		select {
		case <-ctx.Done():
			return stopResult{}
		case <-s.Clock.After(stopInterval):
		}
	}
	return stopResult{}
}

// isGone reports whether a call has shown that the process of its target has ended: no
// process listens at its address, or another one does. A host that does not respond may
// still run it.
func isGone(err error) bool { return refusedConnect(err) || fault.From(err).Kind == fault.Conflict }

// free frees a copy without waiting for the response.
func (s *Server) free(target site.Target, id string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return // The copy expires.
	}
	s.running.Add(1)
	go copyRelease{server: s, target: target, id: id}.run()
}

// copyRelease is a call that frees a copy.
type copyRelease struct {
	server *Server
	target site.Target
	id     string
}

func (r copyRelease) run() {
	s := r.server
	defer s.running.Done()
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	outcome := "freed"
	if err := s.Mover.Free(ctx, r.target, r.id); err != nil {
		outcome = "failed"
		s.Log.WithFields(logrus.Fields{"target": r.target.ID, "copy": r.id, "error": err.Error()}).Info("failed to free a copy of a run; it expires")
	}
	s.Metrics.GetOrCreateCounter(fmt.Sprintf("relay_copies_freed_total{outcome=%q}", outcome)).Inc()
}

// copies is the part of an exchange that concerns copies of its run.
type copies struct {
	key          string      // Identifies the run in the policy; empty before it is needed.
	backup       site.Target // Holds a copy that grows with the run; no ID if there is none.
	backupSource string      // ID of the target that makes that copy.
	from         string      // The copy from which the current attempt goes on; empty if it begins anew.
	returns      bool        // The current attempt returns to the target that stopped the run.
	continued    bool        // An attempt has been sent that goes on from a copy.
	live         *liveRun    // The current attempt; nil if it can't be moved.
}

// movable reports whether runs of the request may be copied: the deployment and the service
// allow it.
func (x *exchange) movable() (site.EngineLimits, bool) {
	if x.server.Mover == nil || x.route.Kind != site.Stream {
		return site.EngineLimits{}, false
	}
	service, ok := x.config.Service(x.service)
	return service.Engine, ok && (service.Engine.Backups || service.Engine.Moves)
}

// prepareCopies chooses the target that holds a backup of the attempt at t and lets the
// attempt be moved. Cancel cancels the attempt.
func (x *exchange) prepareCopies(t site.Target, cancel context.CancelFunc) {
	engine, ok := x.movable()
	if !ok {
		return
	}
	s := x.server
	now := s.Clock.Now()
	targets := x.regularTargets(now)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pruneMoves()
	c := x.copyCriteria(targets, engine)
	if x.copies.key == "" {
		s.moves.count++
		x.copies.key = fmt.Sprint(s.moves.count)
	}
	source := s.placement.StandingOf(now, c, t)
	r := move.Run{
		ID: x.copies.key, Service: x.service, Resumable: x.route.Resumable, Staged: x.readsResults(), PromptTokens: c.Work.PromptTokens, OutputTokens: c.Work.OutputTokens,
		ReadTime: time.Duration(float64(source.ReadTime) / source.Factor), Engine: engine, Nodes: c.Nodes, Draw: c.Draw, Deadline: x.deadline, StartedAt: now,
	}
	if engine.Backups && x.copies.from == "" && x.copies.backup.ID == "" {
		x.chooseBackup(now, t, r, c)
	}
	if engine.Moves && x.allowsAttempt() {
		s.watch(&liveRun{exchange: x, target: t, run: r, criteria: c, cancel: cancel, done: make(chan struct{})})
	}
}

// readsResults reports whether the request reads results of stages.
func (x *exchange) readsResults() bool {
	return slices.ContainsFunc(x.pieceCounts, func(n int) bool { return n > 0 })
}

// allowsAttempt reports whether the route allows an attempt after the current one.
func (x *exchange) allowsAttempt() bool { return x.runs+1 < x.route.MaxAttempts }

// copyCriteria returns the criteria for the destination of a copy. The mutex of the server
// is held.
func (x *exchange) copyCriteria(targets []site.Target, engine site.EngineLimits) place.Criteria {
	s := x.server
	c := x.criteria(nil)
	c.Targets, c.Engine, c.Nodes, c.Draw = targets, engine, s.nodeCount(), s.Random.Uint64()
	c.Work = x.declaredWork()
	return c
}

// chooseBackup sets the backup of the attempt at t, if it is to have one. The mutex of the
// server is held.
func (x *exchange) chooseBackup(now time.Time, t site.Target, r move.Run, c place.Criteria) {
	s := x.server
	b, ok := s.moves.policy.Backup(now, r, t, s.placement.Survey(now, c))
	if !ok {
		return
	}
	x.copies.backup, x.copies.backupSource = b, t.ID
	s.countMove("backup", "started")
}

// dropUnusedBackup gives up the backup of an attempt that has not run, so that the next one
// may have another.
func (x *exchange) dropUnusedBackup(t site.Target, err error) {
	if err == nil || !x.hasBackupFrom(t) || fault.VerdictOf(err) != fault.NotRun && !unsent(err) {
		return
	}
	x.copies.backup, x.copies.backupSource = site.Target{}, ""
	s := x.server
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.moves.policy.Unused(x.copies.key)
}

// freed records that a run has no backup, or no copy for a migration, any more.
func (s *Server) freed(key string, backup bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.moves.policy.Freed(key, backup)
}

// countMove counts the outcome of a backup, a migration or a continuation.
func (s *Server) countMove(kind, outcome string) {
	s.Metrics.GetOrCreateCounter(fmt.Sprintf("relay_run_copies_total{kind=%q,outcome=%q}", kind, outcome)).Inc()
}

// pruneMoves discards what is known of targets and services that are gone. The mutex is
// held.
func (s *Server) pruneMoves() {
	if d := s.Directory(); d.Position != s.moves.pruned {
		s.moves.pruned = d.Position
		s.moves.policy.Prune(d)
	}
}

// freeCopies frees the copies of the request that are left. A backup is freed by the target
// that completes the run it belongs to.
func (x *exchange) freeCopies() {
	if x.copies.key == "" {
		return
	}
	s := x.server
	if b := x.copies.backup; b.ID != "" && (x.err != nil || x.copies.continued) {
		s.free(b, x.id)
	}
	s.freed(x.copies.key, true)
	s.freed(x.copies.key, false)
}

// copyCount returns the number of copies that count towards the limit of this node.
func (s *Server) copyCount() float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return float64(s.moves.policy.Copies())
}

// movedError is the error of an attempt that this node has ended to move its run.
type movedError struct {
	cause       *fault.Error
	stopped     stopResult // Not known for a run that was canceled to begin again elsewhere.
	destination site.Target
}

func (e *movedError) Error() string { return e.cause.Error() }

// Unwrap returns the *fault.Error of kind TargetFailed, whose verdict is MayHaveRun.
func (e *movedError) Unwrap() error { return e.cause }

// isMoved reports whether an attempt was ended to move its run, which says nothing of the
// health of its target.
func isMoved(err error) bool {
	var moved *movedError
	return errors.As(err, &moved)
}
