package cmds

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
)

// hangup keeps SIGHUP from ending a process whose settings count at the start
// only.
type hangup struct {
	log     logrus.FieldLogger
	signals chan os.Signal
	done    chan struct{}
}

func (h *hangup) start() {
	h.signals = make(chan os.Signal, 1)
	h.done = make(chan struct{})
	signal.Notify(h.signals, syscall.SIGHUP)
	go h.run()
}

// run logs each signal.
func (h *hangup) run() {
	defer close(h.done)
	for range h.signals {
		h.log.Info("SIGHUP changes nothing: settings are read at the start, certificates every minute")
	}
}

// close lets SIGHUP end the process again.
func (h *hangup) close() {
	signal.Stop(h.signals)
	close(h.signals)
	<-h.done
}
