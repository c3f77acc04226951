package trial

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"bergamotworks/emul"
	"bergamotworks/note"
	"bergamotworks/ports"
)

// lateWorkWait is the time after the last client has finished in which the
// targets may still start work for its request.
const lateWorkWait = time.Second

// Options are the settings of a run that are not part of its script.
type Options struct {
	Start  Starter
	Policy string // "owned" or the name of a baseline.
	// Deployment overrides the script's deployment unless it is empty.
	Deployment string
	// MaxRate is a capacity in requests per second. The limits of the targets
	// are lowered to about that capacity; zero leaves them unchanged.
	MaxRate float64
	Network ports.Network
	Clock   ports.Clock
}

// Run executes a script and returns the measurements. It returns after the
// script's duration and the deadlines of the last requests. It returns an
// error if the test could not be run to its end; failed properties are no error.
func Run(ctx context.Context, script Script, options Options) (Result, error) {
	if options.Deployment != "" {
		script.Deployment = options.Deployment
	}
	config, err := deploymentConfig(script, options)
	if err != nil {
		return Result{}, err
	}
	fleet := &emul.Fleet{Config: config, Network: options.Network, Clock: options.Clock, Warm: true}
	placed, err := fleet.Start()
	if err != nil {
		return Result{}, trace.Wrap(err, "start the stand-ins")
	}
	system, err := options.Start(ctx, placed, options.Policy)
	if err != nil {
		_ = fleet.Close()
		return Result{}, trace.Wrap(err, "start the system")
	}
	e := newExperiment(script, options, placed, fleet, system)
	e.run(ctx)
	result := e.result()
	comparison, compareErr := e.compareCosts(system)
	result.CostComparison = comparison
	closeErr := system.Close()
	_ = fleet.Close()
	if compareErr != nil {
		return result, trace.Wrap(compareErr, "read the system's reported cost")
	}
	if closeErr != nil {
		return result, trace.Wrap(closeErr, "close the system")
	}
	return result, trace.Wrap(ctx.Err())
}

// deploymentConfig returns the configuration of the script's deployment, with
// its capacity limited.
func deploymentConfig(script Script, options Options) (note.Config, error) {
	shipped, err := note.Shipped(script.Deployment)
	if err != nil {
		return note.Config{}, err
	}
	config := note.Config{NoteID: shipped.ID, Sections: shipped.Added}
	return limitCapacity(config, script.pipelineShares(config), options.MaxRate), nil
}

// experiment is one run in progress.
type experiment struct {
	options Options
	load    *loadGenerator
	events  *eventRunner
	fleet   *emul.Fleet
	group   sync.WaitGroup
}

func newExperiment(script Script, options Options, config note.Config, fleet *emul.Fleet, system System) *experiment {
	l := &loadGenerator{
		script:     script,
		config:     config,
		bottleneck: findBottleneck(config, script.pipelineShares(config)),
		system:     system,
		clock:      options.Clock,
		sender:     newSender(options.Network, options.Clock),
		collector:  newCollector(),
		warmUpEnd:  options.Clock.Now().Add(milliseconds(script.WarmUpMS)),
	}
	l.setLoadShare(script.LoadShare)
	return &experiment{options: options, load: l, fleet: fleet, events: &eventRunner{load: l, fleet: fleet}}
}

// run generates the load and executes the events, and waits for both.
func (e *experiment) run(ctx context.Context) {
	e.group.Add(1)
	go e.loop(ctx)
	e.load.run(ctx)
	e.group.Wait()
	e.load.sleep(ctx, e.options.Clock.Now().Add(lateWorkWait))
	e.load.sender.client.CloseIdleConnections()
}

// loop executes the events.
func (e *experiment) loop(ctx context.Context) {
	defer e.group.Done()
	e.events.run(ctx)
}
