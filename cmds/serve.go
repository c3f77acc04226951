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
	"bergamotworks/store"
)

// serveSettings are the settings of the serve command as they are written.
type serveSettings struct {
	node   node.Settings
	seeds  string
	stores string
	policy string
}

const (
	defaultDrainWait  = 5 * time.Second
	defaultDrainLimit = 60 * time.Second
	defaultStoreCalls = 60 // Calls per second; the writer of two ledger shards needs 55.
)

func (v *serveSettings) register(flags *flag.FlagSet) {
	n := &v.node
	flags.StringVar(&n.VM, "vm", "", "identifier of this VM, unique in the fleet (required)")
	flags.StringVar(&n.Domain, "domain", "", "failure domain of this VM (required)")
	flags.StringVar(&n.Region, "region", "", "region of this VM")
	flags.StringVar(&n.Listen, "listen", "127.0.0.1:8080", "callers' address, IP:port")
	flags.StringVar(&n.Routes, "routes-listen", "", "address for callers of opaque routes, IP:port; empty for none")
	flags.StringVar(&n.Admin, "admin-listen", defaultAdmin, "operators' address, IP:port")
	flags.StringVar(&n.Peer, "peer-listen", "127.0.0.1:7071", "address for other nodes, TCP, IP:port")
	flags.StringVar(&n.Gossip, "gossip-listen", "127.0.0.1:7072", "address for membership, UDP, IP:port")
	flags.StringVar(&v.seeds, "seeds", "", "membership addresses of VMs that may be live, IP:port, separated by commas")
	flags.StringVar(&v.stores, "store", "", "addresses of the key-value service, IP:port, separated by commas (required)")
	flags.DurationVar(&n.DrainDelay, "drain-wait", defaultDrainWait, "time for the balancer to see the end of readiness in a planned stop")
	flags.DurationVar(&n.DrainTimeout, "drain-limit", defaultDrainLimit, "time limit for running requests in a planned stop")
	flags.Float64Var(&n.StoreCalls, "store-calls", defaultStoreCalls, "this node's calls to the key-value service per second at most")
	flags.StringVar(&n.TLSCert, "tls-cert", "", "certificate for callers and operators, PEM file; read again every minute")
	flags.StringVar(&n.TLSKey, "tls-key", "", "key of the certificate, PEM file")
	flags.StringVar(&v.policy, "policy", pool.Owned.String(), "admission policy: owned, or a baseline: round_robin, least_outstanding, split_limits")
}

// settings checks what was written.
func (v *serveSettings) settings() (node.Settings, error) {
	policy, err := pool.PolicyString(v.policy)
	if err != nil {
		return node.Settings{}, badSetting("policy", "%q is not a policy", v.policy)
	}
	v.node.Policy = policy
	v.node.Seeds = splitList(v.seeds)
	if err := v.node.Check(); err != nil {
		fe := fault.From(err)
		return node.Settings{}, badSetting(fe.Field, "%s", fe.Message)
	}
	if v.node.Region == "" {
		v.node.Region = "default"
	}
	return v.node, nil
}

// storeAddresses checks the addresses of the store.
func (v *serveSettings) storeAddresses() ([]string, error) {
	addresses := splitList(v.stores)
	if len(addresses) == 0 {
		return nil, badSetting("store", "missing")
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return nil, badSetting("store", "%q is not IP:port", a)
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

func (s *shell) serveCommand() *ffcli.Command {
	var v serveSettings
	flags := flag.NewFlagSet("serve", flag.ContinueOnError)
	v.register(flags)
	return s.command(&ffcli.Command{
		Name: "serve", ShortUsage: "bergamotworks serve [flags]", FlagSet: flags,
		ShortHelp: "Serve callers on this VM until SIGTERM.",
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
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
			log, err := s.logger()
			if err != nil {
				return err
			}
			tuneMemory()
			return serveNode(ctx, settings, addresses, log)
		},
	})
}

const (
	gcPercent   = 400       // Growth of the heap between two collections, in per cent.
	memoryLimit = 200 << 20 // Bytes from which collections come more often.
)

// tuneMemory lets the heap of a node, which is small, grow further between two
// collections. The variables GOGC and GOMEMLIMIT go first.
func tuneMemory() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
}

// serveNode runs a node until the context ends, then stops it in order.
func serveNode(ctx context.Context, settings node.Settings, stores []string, log *logrus.Logger) error {
	n := &node.Node{
		Settings: settings,
		Store:    &store.Client{Network: ports.SystemNetwork{}, Addresses: stores},
		Network:  ports.SystemNetwork{},
		Clock:    ports.SystemClock{},
		Random:   ports.SystemRandom{},
		Log:      logrus.NewEntry(log),
	}
	h := &hangup{log: log}
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

// nodeRun runs a node beside the command.
type nodeRun struct {
	node *node.Node
	done chan error
}

// run reports the end of the node.
func (r *nodeRun) run() {
	r.done <- r.node.Run(context.Background())
}
