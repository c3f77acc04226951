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

// poisonText is the text that crashes targets in the poison script.
const poisonText = "poison-pill"

// operator carries out the events of a script.
type operator struct {
	load   *load
	fleet  *emul.Fleet
	marks  []Mark
	errors []string
	races  []raceResult
	count  int
}

// Mark is an event of the run, for plots and tables.
type Mark struct {
	AtMS  int64  `json:"at_ms"`
	Label string `json:"what"`
	// TookMS is the time until the event had been carried out.
	TookMS int64 `json:"took_ms"`
}

// run carries out the events in their order.
func (o *operator) run(ctx context.Context) {
	events := slices.Clone(o.load.script.Events)
	slices.SortStableFunc(events, func(a, b Event) int { return int(a.AtMS - b.AtMS) })
	for _, e := range events {
		o.load.sleep(ctx, o.load.started.Add(milliseconds(e.AtMS)))
		if ctx.Err() != nil {
			return
		}
		begun := o.load.clock.Now()
		if err := o.do(ctx, e); err != nil {
			o.errors = append(o.errors, fmt.Sprintf("%s at %d ms: %s", e.Action, e.AtMS, err))
		}
		o.marks = append(o.marks, Mark{
			AtMS: begun.Sub(o.load.started).Milliseconds(), Label: o.describe(e),
			TookMS: o.load.clock.Now().Sub(begun).Milliseconds(),
		})
	}
}

func (o *operator) describe(e Event) string {
	switch e.Action {
	case SetLoad:
		return fmt.Sprintf("load %g", e.LoadShare)
	case DrainDomain, RestoreDomain:
		return fmt.Sprintf("%s %s", e.Action, o.domain(e.Index))
	case KillNode, StopNode, RestartNode, RaceOperators:
		return fmt.Sprintf("%s %d", e.Action, e.Index)
	case SetStoreFault:
		return e.Store.String()
	default:
		return fmt.Sprintf("%s %s %d", e.Action, e.Kind, e.Index)
	}
}

func (o *operator) do(ctx context.Context, e Event) error {
	switch e.Action {
	case SetLoad:
		o.load.setShare(e.LoadShare)
		return nil
	case DrainDomain:
		return o.setDomain(ctx, e.Index, note.OutOfService)
	case RestoreDomain:
		return o.setDomain(ctx, e.Index, note.InService)
	case SetStoreFault:
		return o.load.system.SetStore(e.Store)
	case KillNode, StopNode, RestartNode:
		return o.doNode(e)
	case RaceOperators:
		return o.race(ctx, e.Index)
	default:
		return o.doTargets(ctx, e)
	}
}

// doNode carries out an event at one node.
func (o *operator) doNode(e Event) error {
	system := o.load.system
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

// doTargets carries out an event at one target or at all of a service.
func (o *operator) doTargets(ctx context.Context, e Event) error {
	service, ok := o.service(e.Kind)
	targets := o.fleet.OfService(service)
	if !ok || len(targets) == 0 {
		return fault.New(fault.NotFound, fault.NotRun, "no targets of kind %s", e.Kind)
	}
	one := targets[e.Index%len(targets)]
	switch e.Action {
	case KillTarget:
		one.Kill()
	case RestartTarget:
		return one.Restart()
	case TurnCold:
		one.TurnCold()
	case SilenceTarget:
		one.SilenceConnections()
	case PoisonService:
		o.poison(ctx, service, targets)
	default:
		return each(targets, e)
	}
	return nil
}

func each(targets []*emul.Target, e Event) error {
	for _, t := range targets {
		switch e.Action {
		case KillService:
			t.Kill()
		case SlowService:
			t.Slow(e.Factor)
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
func (o *operator) service(kind note.StageKind) (string, bool) {
	services := o.load.config.Sections.Services
	for _, name := range slices.Sorted(maps.Keys(services)) {
		if services[name].Kind == kind {
			return name, true
		}
	}
	return "", false
}

func (o *operator) domain(index int) string {
	names := slices.Sorted(maps.Keys(o.load.config.Sections.Domains))
	return names[index%len(names)]
}

// setDomain offers a note that changes the state of a failure domain. The
// stand-ins of the domain count late starts from the acceptance on.
func (o *operator) setDomain(ctx context.Context, index int, state note.State) error {
	name := o.domain(index)
	config := o.load.system.Config()
	domain := config.Sections.Domains[name]
	domain.State = state
	err := o.load.system.Submit(ctx, note.Note{
		ID:           o.noteID(),
		BaseRevision: config.Revision,
		Author:       "trial",
		Changed:      note.Sections{Domains: map[string]note.FailureDomain{name: domain}},
	})
	if err != nil {
		return err
	}
	for _, t := range o.fleet.InDomain(name) {
		if state == note.OutOfService {
			t.MarkDrained()
		} else {
			t.ClearDrained()
		}
	}
	return nil
}

func (o *operator) noteID() string {
	o.count++
	return fmt.Sprintf("trial-%s-%d", o.load.script.Name, o.count)
}

// poison makes a text crash the targets and starts a caller that sends it.
func (o *operator) poison(ctx context.Context, service string, targets []*emul.Target) {
	for _, t := range targets {
		t.Poison(poisonText)
	}
	pipeline, ok := o.pipelineOf(service)
	if !ok {
		return
	}
	planner := newPlanner(o.load.script, o.load.config)
	request := planner.request(poisonText, pipeline, planner.pick(planner.accounts))
	request.tallied = false
	request.poison = true
	o.load.launch(ctx, request)
}

// pipelineOf returns the first idempotent pipeline that uses a service.
func (o *operator) pipelineOf(service string) (string, bool) {
	pipelines := o.load.config.Sections.Pipelines
	for _, name := range slices.Sorted(maps.Keys(pipelines)) {
		uses := func(s note.Stage) bool { return s.Service == service }
		if pipelines[name].Idempotent() && slices.ContainsFunc(pipelines[name].Stages, uses) {
			return name, true
		}
	}
	return "", false
}
