package cmds

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
	"golang.org/x/sync/errgroup"

	"bergamotworks/emul"
	"bergamotworks/note"
	"bergamotworks/ports"
	"bergamotworks/store"
)

func (a *app) standinCommand() *ffcli.Command {
	return a.command(&ffcli.Command{
		Name:        "standin",
		ShortUsage:  "bergamotworks standin <store|targets> [flags]",
		ShortHelp:   "Run a stand-in for the key-value service or for targets.",
		Subcommands: []*ffcli.Command{a.standinStoreCommand(), a.standinTargetsCommand()},
		Exec:        requireSubcommand,
	})
}

func (a *app) standinStoreCommand() *ffcli.Command {
	var listen string
	flags := flag.NewFlagSet("store", flag.ContinueOnError)
	flags.StringVar(&listen, "listen", "127.0.0.1:2379", "address, IP:port")
	return a.command(&ffcli.Command{
		Name: "store", ShortUsage: "bergamotworks standin store [flags]", FlagSet: flags,
		ShortHelp: "Run an in-memory key-value service in the JSON gateway format of etcd v3.",
		LongHelp:  "SIGUSR1 restores the service from a copy that is about three seconds old.",
		Exec: func(ctx context.Context, args []string) error {
			if err := rejectArguments(args); err != nil {
				return err
			}
			if _, err := netip.ParseAddrPort(listen); err != nil {
				return usageErrorf("listen", "%q is not IP:port", listen)
			}
			return a.runStore(ctx, listen)
		},
	})
}

// runStore serves an empty store, and restores it from a copy at each SIGUSR1.
func (a *app) runStore(ctx context.Context, listen string) error {
	memory := &store.Memory{Clock: ports.SystemClock{}}
	server := &store.Server{Store: memory, Network: ports.SystemNetwork{}, Address: listen}
	address, err := server.Listen()
	if err != nil {
		return err
	}
	requests := make(chan os.Signal, 1)
	signal.Notify(requests, syscall.SIGUSR1)
	defer signal.Stop(requests)
	fmt.Fprintf(a.stdout, "store stand-in on %s\n", address)
	copies := store.Copies{Memory: memory, Clock: ports.SystemClock{}, Requests: requests}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return copies.Run(ctx) })
	group.Go(func() error { return server.Run(ctx) })
	return group.Wait()
}

func (a *app) standinTargetsCommand() *ffcli.Command {
	var deployment, file string
	var port int
	flags := flag.NewFlagSet("targets", flag.ContinueOnError)
	flags.StringVar(&deployment, "deployment", "toits_unis", "shipped release note: "+strings.Join(note.ShippedNames(), " or "))
	flags.IntVar(&port, "base-port", 21001, "port of the first target on 127.0.0.1")
	flags.StringVar(&file, "note", "", "file to write the release note with the targets' addresses to; empty for none")
	return a.command(&ffcli.Command{
		Name: "targets", ShortUsage: "bergamotworks standin targets [flags]", FlagSet: flags,
		ShortHelp: "Run stand-ins for all targets of a shipped release note.",
		Exec: func(ctx context.Context, args []string) error {
			if err := rejectArguments(args); err != nil {
				return err
			}
			if port < 1 || port > 65000 {
				return usageErrorf("base-port", "%d is not from 1 to 65000", port)
			}
			return a.runTargets(ctx, deployment, port, file)
		},
	})
}

func (a *app) runTargets(ctx context.Context, deployment string, port int, file string) error {
	shipped, err := note.Shipped(deployment)
	if err != nil {
		return usageErrorf("deployment", "%q is not %s", deployment, strings.Join(note.ShippedNames(), " or "))
	}
	config, err := note.Apply(note.Config{}, shipped)
	if err != nil {
		return err
	}
	fleet := &emul.Fleet{Config: config, Network: ports.SystemNetwork{}, Clock: ports.SystemClock{}, BasePort: port}
	config, err = fleet.Start()
	if err != nil {
		return err
	}
	defer func() { _ = fleet.Close() }()
	fmt.Fprintf(a.stdout, "%d targets from 127.0.0.1:%d\n", len(config.Sections.Targets), port)
	if file != "" {
		shipped.Added.Targets = config.Sections.Targets
		if err := a.writeNote(file, shipped); err != nil {
			return err
		}
	}
	<-ctx.Done()
	return nil
}

func (a *app) writeNote(path string, n note.Note) error {
	file, err := os.Create(path) //nolint:gosec // The operator chooses the path.
	if err != nil {
		return usageErrorf("note", "%s", err)
	}
	out := app{stdout: file}
	if err := out.printJSON(n); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
