package cmds

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
)

// signalLogger catches and logs SIGHUP, which would end the process otherwise. It
// serves commands that read their settings at startup only.
type signalLogger struct {
	log     logrus.FieldLogger
	signals chan os.Signal
	done    chan struct{}
}

func (h *signalLogger) start() {
	h.signals = make(chan os.Signal, 1)
	h.done = make(chan struct{})
	signal.Notify(h.signals, syscall.SIGHUP)
	go h.run()
}

// run logs each signal.
func (h *signalLogger) run() {
	defer close(h.done)
	for range h.signals {
		h.log.Info("SIGHUP ignored; settings are read at startup, certificates every minute")
	}
}

// close stops catching SIGHUP and waits for run.
func (h *signalLogger) close() {
	signal.Stop(h.signals)
	close(h.signals)
	<-h.done
}
