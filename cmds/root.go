package cmds

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/sirupsen/logrus"

	"bergamotworks/fault"
)

// The exit statuses.
const (
	exitOK          = 0
	exitError       = 1
	exitUsage       = 2
	exitUnavailable = 3 // The store could not be read.
)

// environmentPrefix is the prefix of the names of environment variables, without
// the underscore.
const environmentPrefix = "BERGAMOT"

const defaultLogLevel = "info"

// app holds what all commands share.
type app struct {
	args      []string // Command line without the program name.
	stdout    io.Writer
	stderr    io.Writer
	logLevel  string
	logFormat string
}

// usageError reports an invalid setting or argument. It leads to exit status 2.
type usageError struct {
	setting string
	message string
}

func (u *usageError) Error() string {
	return fmt.Sprintf("setting %s: %s", u.setting, u.message)
}

func usageErrorf(setting, format string, args ...any) error {
	return &usageError{setting: setting, message: fmt.Sprintf(format, args...)}
}

// Main runs the command line and returns the exit status: 0 for success, 1 for an
// error and 2 for wrong usage. An examination with findings has statuses of its own.
// SIGTERM and SIGINT cancel the command's context.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	a := &app{args: args, stdout: stdout, stderr: stderr}
	root := a.root()
	err := root.ParseAndRun(ctx, args)
	return a.status(err)
}

func (a *app) status(err error) int {
	var usage *usageError
	var found *findingsError
	var unavailable *unavailableError
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, flag.ErrHelp):
		return exitUsage
	case errors.As(err, &found):
		return int(found.worst) // Warning and Error are the exit statuses 1 and 2.
	case errors.As(err, &unavailable):
		fmt.Fprintln(a.stderr, "bergamotworks:", unavailable)
		return exitUnavailable
	case errors.As(err, &usage):
		fmt.Fprintln(a.stderr, "bergamotworks:", usage)
		return exitUsage
	case isParseError(err):
		fmt.Fprintln(a.stderr, "bergamotworks:", err)
		return exitUsage
	default:
		fmt.Fprintln(a.stderr, "bergamotworks:", errorText(err))
		return exitError
	}
}

// isParseError reports whether flags or environment variables could not be parsed.
// It recognizes them by the texts of their errors.
func isParseError(err error) bool {
	text := err.Error()
	return strings.HasPrefix(text, "error parsing ") || strings.Contains(text, "flag provided but not defined")
}

func errorText(err error) string {
	var fe *fault.Error
	if errors.As(err, &fe) {
		return fe.Error()
	}
	return err.Error()
}

func (a *app) root() *ffcli.Command {
	flags := flag.NewFlagSet("bergamotworks", flag.ContinueOnError)
	return a.command(&ffcli.Command{
		Name:       "bergamotworks",
		ShortUsage: "bergamotworks <subcommand> [flags]",
		ShortHelp:  "Serve multi-stage model pipelines.",
		FlagSet:    flags,
		Subcommands: []*ffcli.Command{
			a.serveCommand(),
			a.relayCommand(),
			a.noteCommand(),
			a.configCommand(),
			a.domainCommand(),
			a.statusCommand(),
			a.ledgerCommand(),
			a.orderCommand(),
			a.rolloutCommand(),
			a.demoCommand(),
			a.trialCommand(),
			a.soakCommand(),
			a.reportCommand(),
			a.standinCommand(),
			a.versionCommand(),
		},
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return usageErrorf("subcommand", "unknown subcommand %q", args[0])
			}
			return flag.ErrHelp
		},
	})
}

// command adds to a command what all commands share: output, environment variables
// and log settings.
func (a *app) command(c *ffcli.Command) *ffcli.Command {
	if c.FlagSet == nil {
		c.FlagSet = flag.NewFlagSet(c.Name, flag.ContinueOnError)
	}
	c.FlagSet.SetOutput(a.stderr)
	a.logFlags(c.FlagSet)
	c.Options = append(c.Options, ff.WithEnvVarPrefix(environmentPrefix))
	return c
}

// logFlags adds the flags of the log settings.
func (a *app) logFlags(flags *flag.FlagSet) {
	flags.StringVar(&a.logLevel, "log-level", defaultLogLevel, "log level: debug, info, warn or error")
	flags.StringVar(&a.logFormat, "log-format", "text", "log format: text or json")
}

// logger returns a logger with the log settings.
func (a *app) logger() (*logrus.Logger, error) {
	level, err := logrus.ParseLevel(a.logLevel)
	if err != nil {
		return nil, usageErrorf("log-level", "%q is not debug, info, warn or error", a.logLevel)
	}
	log := logrus.New()
	log.SetOutput(a.stderr)
	log.SetLevel(level)
	switch a.logFormat {
	case "text":
		log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	case "json":
		log.SetFormatter(&logrus.JSONFormatter{})
	default:
		return nil, usageErrorf("log-format", "%q is not text or json", a.logFormat)
	}
	return log, nil
}

// rejectArguments returns an error if there are arguments, for commands that take
// none.
func rejectArguments(args []string) error {
	if len(args) > 0 {
		return usageErrorf("argument", "unexpected argument %q", args[0])
	}
	return nil
}
