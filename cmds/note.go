package cmds

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"bergamotworks/admin"
	"bergamotworks/note"
)

func (s *shell) noteCommand() *ffcli.Command {
	return s.command(&ffcli.Command{
		Name:        "note",
		ShortUsage:  "bergamotworks note <check|offer|show|history> [flags] [file]",
		ShortHelp:   "Check, offer and show release notes.",
		Subcommands: []*ffcli.Command{s.noteCheck(), s.noteOffer(), s.noteShow(), s.noteHistory()},
		Exec:        needSubcommand,
	})
}

func needSubcommand(_ context.Context, args []string) error {
	if len(args) > 0 {
		return badSetting("subcommand", "unknown subcommand %q", args[0])
	}
	return flag.ErrHelp
}

func (s *shell) noteCheck() *ffcli.Command {
	var c client
	flags := flag.NewFlagSet("check", flag.ContinueOnError)
	c.register(flags)
	return s.command(&ffcli.Command{
		Name: "check", ShortUsage: "bergamotworks note check [flags] <file>", FlagSet: flags,
		ShortHelp: "Check a release note against the configuration in force.",
		Exec: func(_ context.Context, args []string) error {
			n, err := readNote(args)
			if err != nil {
				return err
			}
			var accepted admin.NoteResponse
			if err := c.post("/v1/notes/check", n, &accepted); err != nil {
				return err
			}
			fmt.Fprintf(s.stdout, "note %s is good against revision %d\n", n.ID, accepted.Revision)
			return nil
		},
	})
}

func (s *shell) noteOffer() *ffcli.Command {
	var c client
	var wait bool
	flags := flag.NewFlagSet("offer", flag.ContinueOnError)
	c.register(flags)
	flags.BoolVar(&wait, "wait", false, "wait until the note is in force on every live node")
	return s.command(&ffcli.Command{
		Name: "offer", ShortUsage: "bergamotworks note offer [flags] <file or shipped note>", FlagSet: flags,
		ShortHelp: "Offer a release note.",
		Exec: func(_ context.Context, args []string) error {
			n, err := readNote(args)
			if err != nil {
				return err
			}
			return s.offer(&c, n, wait)
		},
	})
}

// offer offers a note and reports the result.
func (s *shell) offer(c *client, n note.Note, wait bool) error {
	var accepted admin.NoteResponse
	if err := c.post("/v1/notes", n, &accepted); err != nil {
		return err
	}
	fmt.Fprintf(s.stdout, "note %s accepted as revision %d\n", n.ID, accepted.Revision)
	if !wait {
		return nil
	}
	return s.wait(c, accepted.Revision)
}

func (s *shell) wait(c *client, revision int64) error {
	started := time.Now()
	path := fmt.Sprintf("/v1/wait?revision=%d&timeout_ms=%d", revision, (c.timeout * 9 / 10).Milliseconds())
	var state admin.NoteResponse
	if err := c.get(path, &state); err != nil {
		return err
	}
	if !state.Active {
		return fmt.Errorf("revision %d is not in force on: %s", revision, strings.Join(state.Lagging, ", "))
	}
	fmt.Fprintf(s.stdout, "revision %d is in force on every live node after %s\n", revision, time.Since(started).Round(time.Millisecond))
	return nil
}

func (s *shell) noteShow() *ffcli.Command {
	var c client
	flags := flag.NewFlagSet("show", flag.ContinueOnError)
	c.register(flags)
	return s.command(&ffcli.Command{
		Name: "show", ShortUsage: "bergamotworks note show [flags] [shipped note]", FlagSet: flags,
		ShortHelp: "Show the configuration in force, or a shipped note.",
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				n, err := readNote(args)
				if err != nil {
					return err
				}
				return s.printJSON(n)
			}
			var config note.Config
			if err := c.get("/v1/config", &config); err != nil {
				return err
			}
			return s.printJSON(config)
		},
	})
}

func (s *shell) printJSON(value any) error {
	encoder := json.NewEncoder(s.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// readNote reads a note from the file or shipped note that the argument names.
func readNote(args []string) (note.Note, error) {
	if len(args) != 1 {
		return note.Note{}, badSetting("file", "name one release note")
	}
	if n, err := note.Shipped(args[0]); err == nil {
		return n, nil
	}
	text, err := os.ReadFile(args[0])
	if err != nil {
		return note.Note{}, badSetting("file", "%s", err)
	}
	return note.Decode(text)
}
