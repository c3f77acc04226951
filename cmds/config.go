package cmds

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"bergamotworks/check"
	"bergamotworks/platform"
	"bergamotworks/ports"
	"bergamotworks/site"
	"bergamotworks/wire"
)

const (
	formatTable = "table"
	formatJSON  = "json"
	// againstStore is the value of the flag against that stands for the store. A file of
	// this name can be given as ./store.
	againstStore = "store"
	// storeReadTimeout bounds the read of the active configuration, with all its attempts.
	storeReadTimeout = 5 * time.Second
)

// unavailableError ends a command that could not read the store. It has an exit status of
// its own, since nothing is known about the configuration then.
type unavailableError struct {
	address string
	cause   error
}

func (e *unavailableError) Error() string {
	return fmt.Sprintf("the store at %s is unavailable, so that nothing was compared: %s", e.address, errorText(e.cause))
}

func (e *unavailableError) Unwrap() error { return e.cause }

// findingsError ends a command whose findings are printed already. The exit status is that
// of their severity.
type findingsError struct{ worst check.Severity }

func (e *findingsError) Error() string { return "the configuration has findings: " + e.worst.String() }

func (a *app) configCommand() *ffcli.Command {
	return a.command(&ffcli.Command{
		Name: "config", ShortUsage: "bergamotworks config <subcommand>", ShortHelp: "Examine configurations of opaque routes.",
		Subcommands: []*ffcli.Command{a.configCheckCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	})
}

func (a *app) configCheckCommand() *ffcli.Command {
	var active activeConfig
	var format string
	flags := flag.NewFlagSet("check", flag.ContinueOnError)
	flags.StringVar(&active.against, "against", "", "file with the active configuration, or \"store\" to read it from the store, to show what changes")
	flags.StringVar(&active.address, "store", "", "address of the platform's store, IP:port; used with -against store only")
	flags.StringVar(&format, "format", formatTable, "output format: table or json")
	return a.command(&ffcli.Command{
		Name: "check", ShortUsage: "bergamotworks config check [flags] FILE", FlagSet: flags,
		ShortHelp: "Examine a configuration before it is written to the store.",
		LongHelp:  "The exit status is 0 without warnings and errors, 1 with warnings, 2 with errors and 3 if the store is unavailable.",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageErrorf("argument", "want one file, got %d", len(args))
			}
			if format != formatTable && format != formatJSON {
				return usageErrorf("format", "%q is not table or json", format)
			}
			if err := active.check(); err != nil {
				return err
			}
			found, err := checkFile(ctx, args[0], active)
			if err != nil {
				return err
			}
			if err := a.printFindings(found, format); err != nil {
				return err
			}
			if worst := check.Worst(found); worst > check.Info {
				return &findingsError{worst: worst}
			}
			return nil
		},
	})
}

// checkFile examines the configuration in a file and, if there is one to compare it with,
// shows what changes in the active one.
func checkFile(ctx context.Context, path string, a activeConfig) ([]check.Finding, error) {
	next, found, err := readConfig(path)
	if err != nil || !next.Loaded() {
		return found, err
	}
	found = append(check.Config(next), found...)
	if a.against == "" {
		return found, nil
	}
	active, wrong, err := a.read(ctx)
	if err != nil {
		return nil, err
	}
	if !active.Loaded() {
		return append(found, wrong...), nil
	}
	return append(check.Compare(active, next), found...), nil
}

// activeConfig says where the active configuration is: in a file or in the store.
type activeConfig struct {
	against string // Path of a file, againstStore, or empty for no comparison.
	address string // Of the store, IP:port.
}

func (a activeConfig) check() error {
	if a.against != againstStore {
		return nil
	}
	if _, err := netip.ParseAddrPort(a.address); err != nil {
		return usageErrorf("store", "%q is not IP:port", a.address)
	}
	return nil
}

// read returns the active configuration, see [readConfig].
func (a activeConfig) read(ctx context.Context) (site.Config, []check.Finding, error) {
	if a.against != againstStore {
		return readConfig(a.against)
	}
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	client := &wire.Client{Network: ports.SystemNetwork{}, Clock: ports.SystemClock{}}
	defer client.Close()
	store := &platform.Store{Client: client, Address: a.address}
	data, err := store.ReadConfig(ctx)
	if err != nil {
		return site.Config{}, nil, &unavailableError{address: a.address, cause: err}
	}
	if data == nil {
		return site.Config{}, []check.Finding{{Severity: check.Info, Place: againstStore, Text: "it holds no configuration to compare with"}}, nil
	}
	config, found := parseConfig(againstStore, data)
	return config, found, nil
}

// readConfig reads a configuration. If it cannot be decoded, it is not loaded and the
// findings say why. Otherwise they name the fields that are not read.
func readConfig(path string) (site.Config, []check.Finding, error) {
	data, err := os.ReadFile(path) //nolint:gosec // The path comes from the command line.
	if err != nil {
		return site.Config{}, nil, usageErrorf("argument", "%s", err)
	}
	config, found := parseConfig(path, data)
	return config, found, nil
}

// parseConfig decodes a configuration from the given place.
func parseConfig(place string, data []byte) (site.Config, []check.Finding) {
	config, err := platform.ParseConfig(data)
	if err != nil {
		return site.Config{}, []check.Finding{{Severity: check.Error, Place: place, Text: decodeErrorText(data, err)}}
	}
	var found []check.Finding
	for _, f := range platform.UnknownFields(data) {
		found = append(found, check.Finding{Severity: check.Info, Place: f, Text: "this version does not read the field"})
	}
	return config, found
}

// decodeErrorText returns the text of an error of decoding, with the line of an error in
// the syntax.
func decodeErrorText(data []byte, err error) string {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return err.Error()
	}
	line := 1 + strings.Count(string(data[:min(int(syntax.Offset), len(data))]), "\n")
	return fmt.Sprintf("line %d: %s", line, err)
}

func (a *app) printFindings(found []check.Finding, format string) error {
	if format == formatJSON {
		encoder := json.NewEncoder(a.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(struct {
			Worst    check.Severity  `json:"worst"`
			Findings []check.Finding `json:"findings"`
		}{check.Worst(found), append([]check.Finding{}, found...)})
	}
	if len(found) == 0 {
		_, err := fmt.Fprintln(a.stdout, "nothing found")
		return err
	}
	w := tabwriter.NewWriter(a.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SEVERITY\tPLACE\tFINDING")
	for _, f := range found {
		fmt.Fprintf(w, "%s\t%s\t%s\n", f.Severity, f.Place, f.Text)
	}
	return w.Flush()
}
