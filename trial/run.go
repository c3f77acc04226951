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

// settleTime is the wait for late work after the last caller has gone.
const settleTime = time.Second

// Options are the settings of a run that are not part of its script.
type Options struct {
	Start  Starter
	Policy string // "owned" or the name of a baseline.
	// Deployment replaces the script's, unless empty.
	Deployment string
	// MaxRate lowers the limits of the targets so that their capacity is about
	// this many requests a second; zero leaves them.
	MaxRate float64
	Network ports.Network
	Clock   ports.Clock
}

// Run carries out a script and returns what was measured. It ends by itself
// after the script's time and the callers' deadlines.
func Run(ctx context.Context, script Script, options Options) (Result, error) {
	if options.Deployment != "" {
		script.Deployment = options.Deployment
	}
	config, err := deployment(script, options)
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
	accounted, accountErr := e.accounted(system)
	result.CostComparison = accounted
	closeErr := system.Close()
	_ = fleet.Close()
	if accountErr != nil {
		return result, trace.Wrap(accountErr, "read the system's accounts")
	}
	if closeErr != nil {
		return result, trace.Wrap(closeErr, "close the system")
	}
	return result, trace.Wrap(ctx.Err())
}

// deployment returns the configuration of the script's shipped note.
func deployment(script Script, options Options) (note.Config, error) {
	shipped, err := note.Shipped(script.Deployment)
	if err != nil {
		return note.Config{}, err
	}
	config := note.Config{NoteID: shipped.ID, Sections: shipped.Added}
	return scale(config, script.mix(config), options.MaxRate), nil
}

// experiment is one run in progress.
type experiment struct {
	options  Options
	load     *load
	operator *operator
	fleet    *emul.Fleet
	group    sync.WaitGroup
}

func newExperiment(script Script, options Options, config note.Config, fleet *emul.Fleet, system System) *experiment {
	l := &load{
		script:  script,
		config:  config,
		narrow:  findBottleneck(config, script.mix(config)),
		system:  system,
		clock:   options.Clock,
		sender:  newSender(options.Network, options.Clock),
		tally:   newTally(),
		started: options.Clock.Now().Add(milliseconds(script.WarmUpMS)),
	}
	l.setShare(script.LoadShare)
	return &experiment{options: options, load: l, fleet: fleet, operator: &operator{load: l, fleet: fleet}}
}

// run offers the load and carries out the events, and waits for both.
func (e *experiment) run(ctx context.Context) {
	e.group.Add(1)
	go e.loop(ctx)
	e.load.run(ctx)
	e.group.Wait()
	e.load.sleep(ctx, e.options.Clock.Now().Add(settleTime))
	e.load.sender.client.CloseIdleConnections()
}

// loop carries out the events.
func (e *experiment) loop(ctx context.Context) {
	defer e.group.Done()
	e.operator.run(ctx)
}
