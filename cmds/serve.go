package cmds

import (
	"context"
	"errors"
	"flag"
	"net/netip"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/sirupsen/logrus"

	"bergamotworks/fault"
	"bergamotworks/node"
	"bergamotworks/pool"
	"bergamotworks/ports"
	"bergamotworks/serve"
	"bergamotworks/store"
)

// serveSettings holds the settings of the serve command before they are checked.
type serveSettings struct {
	node      node.Settings
	seeds     string
	storeList string
	policy    string
}

const (
	defaultServeDrainDelay = 5 * time.Second
	defaultDrainTimeout    = 60 * time.Second
	defaultStoreCalls      = 60 // Calls per second; the writer of two ledger shards needs 55.
)

func (v *serveSettings) register(flags *flag.FlagSet) {
	n := &v.node
	flags.StringVar(&n.VM, "vm", "", "identifier of this VM, unique in the fleet (required)")
	flags.StringVar(&n.Domain, "domain", "", "failure domain of this VM (required)")
	flags.StringVar(&n.Region, "region", "", "region of this VM")
	flags.StringVar(&n.Listen, "listen", "127.0.0.1:8080", "client address, IP:port")
	flags.StringVar(&n.Routes, "routes-listen", "", "client address of opaque routes, IP:port; empty for none")
	flags.StringVar(&n.Admin, "admin-listen", defaultAdmin, "admin address, IP:port")
	flags.StringVar(&n.Peer, "peer-listen", "127.0.0.1:7071", "address for other nodes, TCP, IP:port")
	flags.StringVar(&n.Gossip, "gossip-listen", "127.0.0.1:7072", "address for membership, UDP, IP:port")
	flags.StringVar(&v.seeds, "seeds", "", "membership addresses of VMs that may be live, IP:port, separated by commas")
	flags.StringVar(&v.storeList, "store", "", "addresses of the key-value service, IP:port, separated by commas (required)")
	flags.DurationVar(&n.DrainDelay, "drain-wait", defaultServeDrainDelay, "drain delay: time in a planned shutdown for the balancer to notice that the node is not ready")
	flags.DurationVar(&n.DrainTimeout, "drain-limit", defaultDrainTimeout, "timeout of the requests in flight in a planned shutdown")
	flags.Float64Var(&n.StoreCalls, "store-calls", defaultStoreCalls, "maximum calls of this node to the key-value service per second")
	flags.StringVar(&n.TLSCert, "tls-cert", "", "certificate for clients and operators, PEM file; read again every minute")
	flags.StringVar(&n.TLSKey, "tls-key", "", "private key of the certificate, PEM file")
	registerCanaryFlags(flags, &n.Canary)
	flags.StringVar(&v.policy, "policy", pool.Owned.String(), "admission policy: owned, or a baseline: round_robin, least_outstanding, split_limits")
}

// settings checks and returns the settings of the node.
func (v *serveSettings) settings() (node.Settings, error) {
	policy, err := pool.PolicyString(v.policy)
	if err != nil {
		return node.Settings{}, usageErrorf("policy", "%q is not a policy", v.policy)
	}
	v.node.Policy = policy
	v.node.Seeds = splitList(v.seeds)
	if err := v.node.Check(); err != nil {
		fe := fault.From(err)
		return node.Settings{}, usageErrorf(fe.Field, "%s", fe.Message)
	}
	if v.node.Region == "" {
		v.node.Region = "default"
	}
	return v.node, nil
}

// storeAddresses checks and returns the addresses of the store.
func (v *serveSettings) storeAddresses() ([]string, error) {
	addresses := splitList(v.storeList)
	if len(addresses) == 0 {
		return nil, usageErrorf("store", "missing")
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return nil, usageErrorf("store", "%q is not IP:port", a)
		}
	}
	return addresses, nil
}

func splitList(text string) []string {
	var list []string
	for _, p := range strings.Split(text, ",") {
		if p = strings.TrimSpace(p); p != "" {
			list = append(list, p)
		}
	}
	return list
}

func (a *app) serveCommand() *ffcli.Command {
	var v serveSettings
	flags := flag.NewFlagSet("serve", flag.ContinueOnError)
	v.register(flags)
	return a.command(&ffcli.Command{
		Name: "serve", ShortUsage: "bergamotworks serve [flags]", FlagSet: flags,
		ShortHelp: "Serve clients on this VM until SIGTERM.",
		Exec: func(ctx context.Context, args []string) error {
			if err := rejectArguments(args); err != nil {
				return err
			}
			settings, err := v.settings()
			if err != nil {
				return err
			}
			addresses, err := v.storeAddresses()
			if err != nil {
				return err
			}
			log, err := a.logger()
			if err != nil {
				return err
			}
			tuneMemory(serve.NewLimits(0, 0).HeapBytes)
			return serveNode(ctx, settings, addresses, log)
		},
	})
}

const (
	gcPercent        = 400 // Growth of the heap between two collections, in per cent.
	bytesPerMegabyte = 1_000_000
)

// tuneMemory makes garbage collections less frequent, since the heap of a node is
// small, unless it would grow above a number of bytes. The variables GOGC and
// GOMEMLIMIT take precedence.
func tuneMemory(heapBytes int64) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(heapBytes)
	}
}

// serveNode runs a node until the context ends, then shuts it down gracefully.
func serveNode(ctx context.Context, settings node.Settings, stores []string, log *logrus.Logger) error {
	n := &node.Node{
		Settings: settings,
		Store:    &store.Client{Network: ports.SystemNetwork{}, Addresses: stores},
		Network:  ports.SystemNetwork{},
		Clock:    ports.SystemClock{},
		Random:   ports.SystemRandom{},
		Log:      logrus.NewEntry(log),
	}
	h := &signalLogger{log: log}
	h.start()
	defer h.close()
	r := &nodeRun{node: n, done: make(chan error, 1)}
	go r.run()
	select {
	case err := <-r.done:
		return err
	case <-ctx.Done():
	}
	return errors.Join(n.Stop(context.Background()), <-r.done)
}

// nodeRun is a node that runs in a goroutine.
type nodeRun struct {
	node *node.Node
	done chan error
}

// run runs the node and sends its error to done.
func (r *nodeRun) run() {
	r.done <- r.node.Run(context.Background())
}
