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

	"bergamotworks/fault"
	"bergamotworks/logs"
	"bergamotworks/platform"
	"bergamotworks/ports"
	"bergamotworks/serve"
	"bergamotworks/wire"
)

// relaySettings are the settings of the relay command as they are written.
type relaySettings struct {
	node  serve.Settings
	seeds string
	store string
	path  string // Of the file with settings; may be empty.
}

const (
	defaultStopTime     = 8 * time.Second
	defaultBalancerWait = 2200 * time.Millisecond
	defaultRetryShare   = 0.2
	defaultRetrySlack   = 50
	defaultRetryWindow  = 10 * time.Second
	defaultColdFactor   = 1
	settingsFlag        = "settings"
)

func (v *relaySettings) register(flags *flag.FlagSet) {
	n := &v.node
	flags.StringVar(&n.VM, "vm", "", "identifier of this VM, unique in the fleet (required)")
	flags.StringVar(&n.Domain, "domain", "", "failure domain of this VM (required)")
	flags.StringVar(&n.Region, "region", "default", "region of this VM")
	flags.Float64Var(&n.CPUShare, "cpu-share", 0, "part of a core that this VM has; zero if not known")
	flags.Float64Var(&n.CPUSpeed, "cpu-speed", 1, "speed of the core as a multiple of others'")
	flags.StringVar(&n.Listen, "listen", "127.0.0.1:8080", "callers' address, IP:port")
	flags.StringVar(&n.ReadyListen, "ready-listen", "127.0.0.1:8081", "balancers' address, IP:port")
	flags.StringVar(&n.MetricsListen, "metrics-listen", "", "address of the metrics, IP:port; empty for none")
	flags.StringVar(&n.PeerListen, "peer-listen", "127.0.0.1:7071", "address for other nodes, TCP, IP:port")
	flags.StringVar(&n.GossipListen, "gossip-listen", "127.0.0.1:7071", "address for membership, UDP, IP:port")
	flags.StringVar(&v.seeds, "seeds", "", "membership addresses of VMs that may be live, IP:port, separated by commas")
	flags.StringVar(&v.store, "store", "", "address of the platform's store, IP:port (required)")
	flags.DurationVar(&n.ShutdownTimeout, "stop-time", defaultStopTime, "time for a planned stop")
	flags.DurationVar(&n.DrainDelay, "balancer-wait", defaultBalancerWait, "time in which the balancer notices that the node is not ready")
	flags.Float64Var(&n.Bounds.RetryRatio, "retry-share", defaultRetryShare, "repeated requests to a service for each request, over all nodes")
	flags.Float64Var(&n.Bounds.RetrySlack, "retry-slack", defaultRetrySlack, "repeated requests to a service beyond the share, over all nodes")
	flags.DurationVar(&n.Bounds.RetryWindow, "retry-window", defaultRetryWindow, "time over which repeated requests are counted")
	flags.Float64Var(&n.Bounds.ColdFactor, "cold-factor", defaultColdFactor, "how many times its stated rate a cold target bears, over all nodes")
	flags.StringVar(&v.path, settingsFlag, "", "file with settings, one a line: name and value")
}

// check returns the first setting that is missing or wrong.
func (v *relaySettings) check() error {
	if err := v.node.Check(); err != nil {
		fe := fault.From(err)
		return badSetting(fe.Field, "%s", fe.Message)
	}
	if _, err := netip.ParseAddrPort(v.store); err != nil {
		return badSetting("store", "%q is not IP:port", v.store)
	}
	for _, a := range splitList(v.seeds) {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return badSetting("seeds", "%q is not IP:port", a)
		}
	}
	return nil
}

func (s *shell) relayCommand() *ffcli.Command {
	var v relaySettings
	flags := flag.NewFlagSet("relay", flag.ContinueOnError)
	v.register(flags)
	c := s.command(&ffcli.Command{
		Name: "relay", ShortUsage: "bergamotworks relay [flags]", FlagSet: flags,
		ShortHelp: "Serve opaque routes on the platform until SIGTERM.",
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			if err := v.check(); err != nil {
				return err
			}
			log, err := s.logger()
			if err != nil {
				return err
			}
			set := metrics.NewSet()
			lines := &logs.Writer{Out: s.stdout, Clock: ports.SystemClock{}, Metrics: set}
			lines.Start()
			log.SetOutput(lines)
			tuneMemory()
			return errors.Join(relay(ctx, v, s.relayArguments(), log, set), lines.Close())
		},
	})
	c.Options = append(c.Options, fileOptions()...)
	return c
}

// fileOptions returns how the file with settings is read.
func fileOptions() []ff.Option {
	return []ff.Option{ff.WithConfigFileFlag(settingsFlag), ff.WithConfigFileParser(ff.PlainParser), ff.WithIgnoreUndefined(true)}
}

// relayArguments returns the arguments of the relay command.
func (s *shell) relayArguments() []string {
	if i := slices.Index(s.args, "relay"); i >= 0 {
		return s.args[i+1:]
	}
	return nil
}

// relay runs a node until the context ends, then stops it in order.
func relay(ctx context.Context, v relaySettings, args []string, log *logrus.Logger, set *metrics.Set) error {
	entry := logrus.NewEntry(log)
	dialed := set.NewCounter("wire_connections_total")
	client := &wire.Client{Network: ports.SystemNetwork{}, Clock: ports.SystemClock{}, OnDial: dialed.Inc}
	store := &platform.Store{Client: client, Address: v.store}
	seeds := &platform.Seeds{
		Store: store, VM: v.node.VM, GossipAddress: v.node.GossipListen, Configured: splitList(v.seeds), Clock: ports.SystemClock{},
		Log: entry.WithField("part", "seeds"),
	}
	n := &serve.Node{
		Settings: v.node, Client: client, Seeds: seeds, Names: platform.HeaderNames(),
		Source:  &platform.Source{Store: store, Clock: ports.SystemClock{}, Log: entry.WithField("part", "source")},
		Runner:  &platform.Runner{Client: client},
		Network: ports.SystemNetwork{}, Clock: ports.SystemClock{}, Random: ports.SystemRandom{},
		Log: entry, Metrics: set,
	}
	r := &relayRun{node: n, seeds: seeds, done: make(chan error, 2)}
	r.reload = reloader{args: args, path: v.path, apply: r.apply, clock: ports.SystemClock{}, log: entry.WithField("part", "settings")}
	r.start()
	defer r.stop()
	select {
	case err := <-r.done:
		return err
	case <-ctx.Done():
	}
	return errors.Join(n.Stop(context.Background()), <-r.done)
}

// relayRun runs a node and its registration beside the command.
type relayRun struct {
	node   *serve.Node
	seeds  *platform.Seeds
	done   chan error
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

// apply takes over settings that were read again.
func (r *relayRun) apply(v relaySettings) {
	r.seeds.SetConfigured(splitList(v.seeds))
	r.node.Reload(v.node)
}

// run reports the end of the node.
func (r *relayRun) run() { r.done <- r.node.Run(context.Background()) }

func (r *relayRun) loopSeeds(ctx context.Context) {
	if err := r.seeds.Run(ctx); err != nil {
		r.node.Log.WithField("error", err.Error()).Warn("registration ended")
	}
}
