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
	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

// environmentPrefix stands before the name of every environment variable.
const environmentPrefix = "BERGAMOT"

const defaultLogLevel = "info"

// shell is what every command needs.
type shell struct {
	args      []string // Of the whole command line.
	stdout    io.Writer
	stderr    io.Writer
	logLevel  string
	logFormat string
}

// usageError is a wrong setting or argument.
type usageError struct {
	setting string
	message string
}

func (u *usageError) Error() string {
	return fmt.Sprintf("setting %s: %s", u.setting, u.message)
}

func badSetting(setting, format string, args ...any) error {
	return &usageError{setting: setting, message: fmt.Sprintf(format, args...)}
}

// Main runs the command that the arguments name and returns the exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s := &shell{args: args, stdout: stdout, stderr: stderr}
	root := s.root()
	err := root.ParseAndRun(ctx, args)
	return s.status(err)
}

func (s *shell) status(err error) int {
	var usage *usageError
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, flag.ErrHelp):
		return exitUsage
	case errors.As(err, &usage):
		fmt.Fprintln(s.stderr, "bergamotworks:", usage)
		return exitUsage
	case isParseError(err):
		fmt.Fprintln(s.stderr, "bergamotworks:", err)
		return exitUsage
	default:
		fmt.Fprintln(s.stderr, "bergamotworks:", describe(err))
		return exitError
	}
}

// isParseError reports whether flags or environment variables could not be parsed.
func isParseError(err error) bool {
	text := err.Error()
	return strings.HasPrefix(text, "error parsing ") || strings.Contains(text, "flag provided but not defined")
}

func describe(err error) string {
	var fe *fault.Error
	if errors.As(err, &fe) {
		return fe.Error()
	}
	return err.Error()
}

func (s *shell) root() *ffcli.Command {
	flags := flag.NewFlagSet("bergamotworks", flag.ContinueOnError)
	return s.command(&ffcli.Command{
		Name:       "bergamotworks",
		ShortUsage: "bergamotworks <subcommand> [flags]",
		ShortHelp:  "Serve multi-stage model pipelines.",
		FlagSet:    flags,
		Subcommands: []*ffcli.Command{
			s.serveCommand(),
			s.relayCommand(),
			s.noteCommand(),
			s.domainCommand(),
			s.statusCommand(),
			s.ledgerCommand(),
			s.orderCommand(),
			s.demoCommand(),
			s.trialCommand(),
			s.soakCommand(),
			s.reportCommand(),
			s.standinCommand(),
			s.versionCommand(),
		},
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return badSetting("subcommand", "unknown subcommand %q", args[0])
			}
			return flag.ErrHelp
		},
	})
}

// command adds what all commands share: output, environment variables, log
// settings and the refusal of surplus arguments.
func (s *shell) command(c *ffcli.Command) *ffcli.Command {
	if c.FlagSet == nil {
		c.FlagSet = flag.NewFlagSet(c.Name, flag.ContinueOnError)
	}
	c.FlagSet.SetOutput(s.stderr)
	s.logFlags(c.FlagSet)
	c.Options = append(c.Options, ff.WithEnvVarPrefix(environmentPrefix))
	return c
}

// logFlags adds the settings of the logs.
func (s *shell) logFlags(flags *flag.FlagSet) {
	flags.StringVar(&s.logLevel, "log-level", defaultLogLevel, "log level: debug, info, warn or error")
	flags.StringVar(&s.logFormat, "log-format", "text", "log format: text or json")
}

// logger returns the logger that the settings describe.
func (s *shell) logger() (*logrus.Logger, error) {
	level, err := logrus.ParseLevel(s.logLevel)
	if err != nil {
		return nil, badSetting("log-level", "%q is not debug, info, warn or error", s.logLevel)
	}
	log := logrus.New()
	log.SetOutput(s.stderr)
	log.SetLevel(level)
	switch s.logFormat {
	case "text":
		log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	case "json":
		log.SetFormatter(&logrus.JSONFormatter{})
	default:
		return nil, badSetting("log-format", "%q is not text or json", s.logFormat)
	}
	return log, nil
}

// noArguments refuses arguments that a command does not take.
func noArguments(args []string) error {
	if len(args) > 0 {
		return badSetting("argument", "unexpected argument %q", args[0])
	}
	return nil
}
