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

// settingsPollInterval is the interval at which the settings file is checked for
// changes, which may come without a signal.
const settingsPollInterval = 2 * time.Second

// reloader reads the settings of the relay command again after SIGHUP or a change
// of the settings file.
type reloader struct {
	args  []string // Arguments of the relay command.
	path  string   // Settings file; empty for none.
	apply func(relaySettings)
	clock ports.Clock
	log   *logrus.Entry

	signals  chan os.Signal
	modified time.Time // Modification time of the file when it was last read.
}

// listen starts catching SIGHUP, which would end the process otherwise.
func (r *reloader) listen() {
	r.signals = make(chan os.Signal, 1)
	signal.Notify(r.signals, syscall.SIGHUP)
	r.fileChanged()
}

func (r *reloader) close() { signal.Stop(r.signals) }

// loop reloads the settings when needed until the context ends.
func (r *reloader) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.signals:
			r.fileChanged()
			r.reload("signal")
		case <-r.clock.After(settingsPollInterval):
			if r.fileChanged() {
				r.reload("changed file")
			}
		}
	}
}

// fileChanged reports whether the file has changed since the last call.
func (r *reloader) fileChanged() bool {
	if r.path == "" {
		return false
	}
	info, err := os.Stat(r.path)
	if err != nil {
		return false // The current settings stay until the file can be read.
	}
	if info.ModTime().Equal(r.modified) {
		return false
	}
	r.modified = info.ModTime()
	return true
}

// reload reads the settings and applies them if all of them are valid.
func (r *reloader) reload(reason string) {
	v, err := readRelaySettings(r.args)
	if err != nil {
		r.log.WithFields(logrus.Fields{"reason": reason, "error": err.Error()}).Warn("invalid settings; keeping the current ones")
		return
	}
	r.log.WithField("reason", reason).Info("applying reloaded settings")
	r.apply(v)
}

// readRelaySettings reads and checks the settings of the relay command.
func readRelaySettings(args []string) (relaySettings, error) {
	var v relaySettings
	flags := flag.NewFlagSet("relay", flag.ContinueOnError)
	v.register(flags)
	a := &app{stderr: io.Discard}
	a.logFlags(flags)
	if err := ff.Parse(flags, args, append(fileOptions(), ff.WithEnvVarPrefix(environmentPrefix))...); err != nil {
		return v, err
	}
	return v, v.check()
}
