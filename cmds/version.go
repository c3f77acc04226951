package cmds

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// version is the release of the program.
const version = "0.1.0"

func (a *app) versionCommand() *ffcli.Command {
	return a.command(&ffcli.Command{
		Name:       "version",
		ShortUsage: "bergamotworks version",
		ShortHelp:  "Print the version.",
		Exec: func(_ context.Context, args []string) error {
			if err := rejectArguments(args); err != nil {
				return err
			}
			goVersion := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				goVersion = info.GoVersion
			}
			fmt.Fprintf(a.stdout, "bergamotworks %s (%s)\n", version, goVersion)
			return nil
		},
	})
}
