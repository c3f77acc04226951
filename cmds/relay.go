package cmds

import (
	"context"
	"errors"
	"flag"
	"net/netip"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/sirupsen/logrus"

	"bergamotworks/canary"
	"bergamotworks/fault"
	"bergamotworks/logs"
	"bergamotworks/platform"
	"bergamotworks/ports"
	"bergamotworks/serve"
	"bergamotworks/wire"
)

// relaySettings holds the settings of the relay command before they are checked.
type relaySettings struct {
	node         serve.Settings
	seeds        string
	storeAddress string
	contracts    string
	settingsFile string // Path of the settings file; may be empty.
	memoryMB     float64
	descriptors  int
}

const (
	defaultShutdownTimeout = 8 * time.Second
	defaultRelayDrainDelay = 2200 * time.Millisecond
	defaultRetryRatio      = 0.2
	defaultRetrySlack      = 50
	defaultRetryWindow     = 10 * time.Second
	defaultColdFactor      = 1
	defaultRollbackTime    = 5 * time.Second
	settingsFlag           = "settings"
)

func (v *relaySettings) register(flags *flag.FlagSet) {
	n := &v.node
	flags.StringVar(&n.VM, "vm", "", "identifier of this VM, unique in the fleet (required)")
	flags.StringVar(&n.Domain, "domain", "", "failure domain of this VM (required)")
	flags.StringVar(&n.Region, "region", "default", "region of this VM")
	flags.Float64Var(&n.CPUShare, "cpu-share", 0, "share of a core that this VM has; zero if unknown")
	flags.Float64Var(&n.CPUSpeed, "cpu-speed", 1, "speed of that core as a multiple of a reference core; zero if unknown")
	flags.Float64Var(&v.memoryMB, "memory-mb", 0, "memory of this VM in megabytes; zero if unknown")
	flags.IntVar(&v.descriptors, "max-descriptors", 0, "descriptors that this VM has for files and connections; zero if unknown")
	flags.StringVar(&n.Listen, "listen", "127.0.0.1:8080", "client address, IP:port")
	flags.StringVar(&n.ReadyListen, "ready-listen", "127.0.0.1:8081", "address for readiness checks of the balancer, IP:port")
	flags.StringVar(&n.MetricsListen, "metrics-listen", "", "metrics address, IP:port; empty for none")
	flags.StringVar(&n.PeerListen, "peer-listen", "127.0.0.1:7071", "address for other nodes, TCP, IP:port")
	flags.StringVar(&n.GossipListen, "gossip-listen", "127.0.0.1:7071", "address for membership, UDP, IP:port")
	flags.StringVar(&v.seeds, "seeds", "", "membership addresses of VMs that may be live, IP:port, separated by commas")
	flags.StringVar(&v.storeAddress, "store", "", "address of the platform's store, IP:port (required)")
	flags.DurationVar(&n.ShutdownTimeout, "stop-time", defaultShutdownTimeout, "timeout of a planned shutdown, including balancer-wait")
	flags.DurationVar(&n.DrainDelay, "balancer-wait", defaultRelayDrainDelay, "drain delay: time in a planned shutdown for the balancer to notice that the node is not ready")
	flags.Float64Var(&n.Bounds.RetryRatio, "retry-share", defaultRetryRatio, "retry ratio: maximum retries to a service per request, over all nodes")
	flags.Float64Var(&n.Bounds.RetrySlack, "retry-slack", defaultRetrySlack, "retries to a service that are allowed in addition to the retry ratio, over all nodes")
	flags.DurationVar(&n.Bounds.RetryWindow, "retry-window", defaultRetryWindow, "time over which retries are counted")
	flags.Float64Var(&n.Bounds.ColdFactor, "cold-factor", defaultColdFactor, "factor on the rate limit of a cold target, over all nodes")
	registerCanaryFlags(flags, &n.Canary)
	flags.BoolVar(&n.ExpectedTime, "expected-time", false, "choose targets by the expected time to the first event also if they do not report how long work takes on their VM")
	flags.BoolVar(&n.MoveRuns, "move-runs", false, "back up runs and move them between targets, in services whose configuration allows it")
	flags.StringVar(&v.contracts, "contracts", "", "parts of the platform's rules that are in force, separated by commas; unknown ones are ignored")
	flags.StringVar(&v.settingsFile, settingsFlag, "", "settings file; each line has a name and a value")
}

// registerCanaryFlags registers the settings of rollouts.
func registerCanaryFlags(flags *flag.FlagSet, c *canary.Settings) {
	flags.Float64Var(&c.Share, "canary-share", 0, "largest share of a service's requests that the new version in a rollout gets until it is known to be good, over all nodes; zero disables rollouts")
	flags.Float64Var(&c.Slack, "canary-slack", 0, "requests that it may get in addition, over all nodes")
	flags.DurationVar(&c.RollbackTime, "rollback-time", defaultRollbackTime, "time from the 50th bad response of the new version to the last request that it gets")
}

// check reports the first setting that is missing or invalid.
func (v *relaySettings) check() error {
	if err := v.node.Check(); err != nil {
		fe := fault.From(err)
		return usageErrorf(fe.Field, "%s", fe.Message)
	}
	if c := v.node.Canary; c.Share < 0 || c.Share > 1 || c.Slack < 0 || c.RollbackTime < 0 {
		return usageErrorf("canary-share", "share %g is not in 0 to 1, or slack %g or rollback time %s is negative", c.Share, c.Slack, c.RollbackTime)
	}
	if v.memoryMB < 0 {
		return usageErrorf("memory-mb", "%g is negative", v.memoryMB)
	}
	if v.descriptors < 0 {
		return usageErrorf("max-descriptors", "%d is negative", v.descriptors)
	}
	if _, err := netip.ParseAddrPort(v.storeAddress); err != nil {
		return usageErrorf("store", "%q is not IP:port", v.storeAddress)
	}
	for _, a := range splitList(v.seeds) {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return usageErrorf("seeds", "%q is not IP:port", a)
		}
	}
	return nil
}

// limits returns what the node may hold.
func (v *relaySettings) limits() serve.Limits {
	return serve.NewLimits(int64(v.memoryMB*bytesPerMegabyte), v.descriptors)
}

func (a *app) relayCommand() *ffcli.Command {
	var v relaySettings
	flags := flag.NewFlagSet("relay", flag.ContinueOnError)
	v.register(flags)
	c := a.command(&ffcli.Command{
		Name: "relay", ShortUsage: "bergamotworks relay [flags]", FlagSet: flags,
		ShortHelp: "Serve opaque routes on the platform until SIGTERM.",
		Exec: func(ctx context.Context, args []string) error {
			if err := rejectArguments(args); err != nil {
				return err
			}
			if err := v.check(); err != nil {
				return err
			}
			log, err := a.logger()
			if err != nil {
				return err
			}
			set := metrics.NewSet()
			writer := &logs.Writer{Out: a.stdout, Clock: ports.SystemClock{}, Metrics: set}
			writer.Start()
			log.SetOutput(writer)
			v.node.Limits = v.limits()
			tuneMemory(v.node.Limits.HeapBytes)
			v.node.PriorityAdmission = platform.PriorityAdmission(splitList(v.contracts))
			return errors.Join(relay(ctx, v, a.relayArguments(), log, set), writer.Close())
		},
	})
	c.Options = append(c.Options, fileOptions()...)
	return c
}

// fileOptions returns the options for reading the settings file.
func fileOptions() []ff.Option {
	return []ff.Option{ff.WithConfigFileFlag(settingsFlag), ff.WithConfigFileParser(ff.PlainParser), ff.WithIgnoreUndefined(true)}
}

// relayArguments returns the arguments that follow the relay subcommand.
func (a *app) relayArguments() []string {
	if i := slices.Index(a.args, "relay"); i >= 0 {
		return a.args[i+1:]
	}
	return nil
}

// relay runs a node until the context ends, then shuts it down gracefully.
func relay(ctx context.Context, v relaySettings, args []string, log *logrus.Logger, set *metrics.Set) error {
	entry := logrus.NewEntry(log)
	dialed := set.NewCounter("wire_connections_total")
	client := &wire.Client{Network: ports.SystemNetwork{}, Clock: ports.SystemClock{}, OnDial: dialed.Inc}
	store := &platform.Store{Client: client, Address: v.storeAddress}
	seeds := &platform.Seeds{
		Store: store, VM: v.node.VM, GossipAddress: v.node.GossipListen, Configured: splitList(v.seeds), Clock: ports.SystemClock{},
		Log: entry.WithField("part", "seeds"),
	}
	source := &platform.Source{Store: store, Clock: ports.SystemClock{}, Log: entry.WithField("part", "source"), Rollouts: v.node.Canary.Share > 0}
	n := &serve.Node{
		Settings: v.node, Client: client, Seeds: seeds, Names: platform.HeaderNames(), Source: source, States: source,
		Runner:  &platform.Runner{Client: client},
		Mover:   &platform.Mover{Client: client},
		Network: ports.SystemNetwork{}, Clock: ports.SystemClock{}, Random: ports.SystemRandom{},
		Log: entry, Metrics: set,
	}
	r := &relayRun{node: n, seeds: seeds, done: make(chan error, 2)}
	r.reload = reloader{args: args, path: v.settingsFile, apply: r.apply, clock: ports.SystemClock{}, log: entry.WithField("part", "settings")}
	r.start()
	defer r.stop()
	select {
	case err := <-r.done:
		return err
	case <-ctx.Done():
	}
	return errors.Join(n.Stop(context.Background()), <-r.done)
}

// relayRun runs a node together with its registration as a seed and the reload of
// its settings.
type relayRun struct {
	node   *serve.Node
	seeds  *platform.Seeds
	done   chan error // Receives the error of run; buffered, so that run does not block.
	reload reloader
	cancel context.CancelFunc
}

func (r *relayRun) start() {
	var ctx context.Context
	ctx, r.cancel = context.WithCancel(context.Background())
	r.reload.listen()
	go r.run()
	go r.loopSeeds(ctx)
	go r.reload.loop(ctx)
}

func (r *relayRun) stop() {
	r.reload.close()
	r.cancel()
}

// apply applies reloaded settings.
func (r *relayRun) apply(v relaySettings) {
	r.seeds.SetConfigured(splitList(v.seeds))
	v.node.Limits = v.limits()
	tuneMemory(v.node.Limits.HeapBytes)
	v.node.PriorityAdmission = platform.PriorityAdmission(splitList(v.contracts))
	r.node.Reload(v.node)
}

// run runs the node and sends its error to done.
func (r *relayRun) run() { r.done <- r.node.Run(context.Background()) }

func (r *relayRun) loopSeeds(ctx context.Context) {
	if err := r.seeds.Run(ctx); err != nil {
		r.node.Log.WithField("error", err.Error()).Warn("seed registration stopped")
	}
}
