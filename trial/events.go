package trial

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"bergamotworks/emul"
	"bergamotworks/fault"
	"bergamotworks/note"
)

// poisonText is the input that crashes targets after a [PoisonService] event.
const poisonText = "poison-pill"

// eventRunner executes the events of a script.
type eventRunner struct {
	load      *loadGenerator
	fleet     *emul.Fleet
	marks     []Mark
	errors    []string
	conflicts []conflictResult
	notes     int // Submitted so far; makes note IDs unique.
}

// Mark records an executed event for plots and tables.
type Mark struct {
	AtMS  int64  `json:"at_ms"` // Since the end of the warm-up.
	Label string `json:"what"`
	// TookMS is the time that executing the event took.
	TookMS int64 `json:"took_ms"`
}

// run executes the events in the order of their times. It records errors and
// continues.
func (r *eventRunner) run(ctx context.Context) {
	events := slices.Clone(r.load.script.Events)
	slices.SortStableFunc(events, func(a, b Event) int { return int(a.AtMS - b.AtMS) })
	for _, e := range events {
		r.load.sleep(ctx, r.load.warmUpEnd.Add(milliseconds(e.AtMS)))
		if ctx.Err() != nil {
			return
		}
		started := r.load.clock.Now()
		if err := r.apply(ctx, e); err != nil {
			r.errors = append(r.errors, fmt.Sprintf("%s at %d ms: %s", e.Action, e.AtMS, err))
		}
		r.marks = append(r.marks, Mark{
			AtMS: started.Sub(r.load.warmUpEnd).Milliseconds(), Label: r.label(e),
			TookMS: r.load.clock.Now().Sub(started).Milliseconds(),
		})
	}
}

func (r *eventRunner) label(e Event) string {
	switch e.Action {
	case SetLoad:
		return fmt.Sprintf("load %g", e.LoadShare)
	case DrainDomain, RestoreDomain:
		return fmt.Sprintf("%s %s", e.Action, r.domain(e.Index))
	case KillNode, StopNode, RestartNode, SubmitConflictingNotes:
		return fmt.Sprintf("%s %d", e.Action, e.Index)
	case SetStoreFault:
		return e.Store.String()
	default:
		return fmt.Sprintf("%s %s %d", e.Action, e.Kind, e.Index)
	}
}

func (r *eventRunner) apply(ctx context.Context, e Event) error {
	switch e.Action {
	case SetLoad:
		r.load.setLoadShare(e.LoadShare)
		return nil
	case DrainDomain:
		return r.setDomain(ctx, e.Index, note.OutOfService)
	case RestoreDomain:
		return r.setDomain(ctx, e.Index, note.InService)
	case SetStoreFault:
		return r.load.system.SetStore(e.Store)
	case KillNode, StopNode, RestartNode:
		return r.applyToNode(e)
	case SubmitConflictingNotes:
		return r.submitConflictingNotes(ctx, e.Index)
	default:
		return r.applyToTargets(ctx, e)
	}
}

// applyToNode executes an event on one node.
func (r *eventRunner) applyToNode(e Event) error {
	system := r.load.system
	index := e.Index % system.Nodes()
	switch e.Action {
	case KillNode:
		return system.KillNode(index)
	case StopNode:
		return system.StopNode(index)
	default:
		return system.RestartNode(index)
	}
}

// applyToTargets executes an event on one target or on all targets of a service.
func (r *eventRunner) applyToTargets(ctx context.Context, e Event) error {
	service, ok := r.service(e.Kind)
	targets := r.fleet.OfService(service)
	if !ok || len(targets) == 0 {
		return fault.New(fault.NotFound, fault.NotRun, "no targets of kind %s", e.Kind)
	}
	target := targets[e.Index%len(targets)]
	switch e.Action {
	case KillTarget:
		target.Kill()
	case RestartTarget:
		return target.Restart()
	case TurnCold:
		target.MarkCold()
	case SilenceTarget:
		target.SilenceConnections()
	case PoisonService:
		r.poison(ctx, service, targets)
	default:
		return applyToAll(targets, e)
	}
	return nil
}

func applyToAll(targets []*emul.Target, e Event) error {
	for _, t := range targets {
		switch e.Action {
		case KillService:
			t.Kill()
		case SlowService:
			t.SetSlowdown(e.Factor)
		case SilenceService:
			t.SilenceConnections()
		case RestartService:
			if err := t.Restart(); err != nil {
				return err
			}
		default:
			return fault.New(fault.Invalid, fault.NotRun, "unknown action %s", e.Action)
		}
	}
	return nil
}

// service returns the name of the first service of a kind.
func (r *eventRunner) service(kind note.StageKind) (string, bool) {
	services := r.load.config.Sections.Services
	for _, name := range slices.Sorted(maps.Keys(services)) {
		if services[name].Kind == kind {
			return name, true
		}
	}
	return "", false
}

func (r *eventRunner) domain(index int) string {
	names := slices.Sorted(maps.Keys(r.load.config.Sections.Domains))
	return names[index%len(names)]
}

// setDomain submits a note that changes the state of a failure domain. Once the
// note is accepted, the stand-ins of a drained domain count the work that they still
// start after a grace period.
func (r *eventRunner) setDomain(ctx context.Context, index int, state note.State) error {
	name := r.domain(index)
	config := r.load.system.Config()
	domain := config.Sections.Domains[name]
	domain.State = state
	err := r.load.system.Submit(ctx, note.Note{
		ID:           r.noteID(),
		BaseRevision: config.Revision,
		Author:       "trial",
		Changed:      note.Sections{Domains: map[string]note.FailureDomain{name: domain}},
	})
	if err != nil {
		return err
	}
	for _, t := range r.fleet.InDomain(name) {
		if state == note.OutOfService {
			t.MarkDrained()
		} else {
			t.ClearDrained()
		}
	}
	return nil
}

func (r *eventRunner) noteID() string {
	r.notes++
	return fmt.Sprintf("trial-%s-%d", r.load.script.Name, r.notes)
}

// poison makes the targets crash on a certain input and starts a client that
// sends it.
func (r *eventRunner) poison(ctx context.Context, service string, targets []*emul.Target) {
	for _, t := range targets {
		t.Poison(poisonText)
	}
	pipeline, ok := r.pipelineOf(service)
	if !ok {
		return
	}
	planner := newPlanner(r.load.script, r.load.config)
	request := planner.newRequest(poisonText, pipeline, planner.pick(planner.accounts))
	request.counted = false
	request.poison = true
	r.load.launch(ctx, request)
}

// pipelineOf returns the first idempotent pipeline that uses a service.
func (r *eventRunner) pipelineOf(service string) (string, bool) {
	pipelines := r.load.config.Sections.Pipelines
	for _, name := range slices.Sorted(maps.Keys(pipelines)) {
		uses := func(s note.Stage) bool { return s.Service == service }
		if pipelines[name].Idempotent() && slices.ContainsFunc(pipelines[name].Stages, uses) {
			return name, true
		}
	}
	return "", false
}
