package cmds

import (
	"context"
	"flag"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/sirupsen/logrus"

	"bergamotworks/ports"
)

// settingsInterval is the time between two looks at the file with settings,
// which may change without a signal.
const settingsInterval = 2 * time.Second

// reloader reads the settings of the relay command again when SIGHUP arrives or
// their file has changed.
type reloader struct {
	args  []string // Arguments of the command.
	path  string   // File with settings; empty for none.
	apply func(relaySettings)
	clock ports.Clock
	log   *logrus.Entry

	hangup   chan os.Signal
	modified time.Time // Of the file as it was last read.
}

// listen begins to catch SIGHUP, which would end the process otherwise.
func (r *reloader) listen() {
	r.hangup = make(chan os.Signal, 1)
	signal.Notify(r.hangup, syscall.SIGHUP)
	r.changed()
}

func (r *reloader) close() { signal.Stop(r.hangup) }

// loop reads the settings again until the context ends.
func (r *reloader) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.hangup:
			r.changed()
			r.read("signal")
		case <-r.clock.After(settingsInterval):
			if r.changed() {
				r.read("changed file")
			}
		}
	}
}

// changed reports whether the file has changed since the last look.
func (r *reloader) changed() bool {
	if r.path == "" {
		return false
	}
	info, err := os.Stat(r.path)
	if err != nil {
		return false // The settings in use stay until the file is back.
	}
	if info.ModTime().Equal(r.modified) {
		return false
	}
	r.modified = info.ModTime()
	return true
}

// read takes over the settings, unless one of them is wrong.
func (r *reloader) read(reason string) {
	v, err := readRelaySettings(r.args)
	if err != nil {
		r.log.WithFields(logrus.Fields{"reason": reason, "error": err.Error()}).Warn("settings not taken over")
		return
	}
	r.log.WithField("reason", reason).Info("reload of settings")
	r.apply(v)
}

// readRelaySettings reads and checks the settings of the relay command.
func readRelaySettings(args []string) (relaySettings, error) {
	var v relaySettings
	flags := flag.NewFlagSet("relay", flag.ContinueOnError)
	v.register(flags)
	s := &shell{stderr: io.Discard}
	s.logFlags(flags)
	if err := ff.Parse(flags, args, append(fileOptions(), ff.WithEnvVarPrefix(environmentPrefix))...); err != nil {
		return v, err
	}
	return v, v.check()
}
