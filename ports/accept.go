package ports

import (
	"errors"
	"net"
	"time"

	"github.com/sirupsen/logrus"
)

// acceptRetryDelay is the delay after a connection could not be accepted.
const acceptRetryDelay = 50 * time.Millisecond

// RetryListener accepts connections again after errors that may be temporary, such as
// too many open files, so that its server goes on. Accept fails only when the listener
// is closed or broken. It must be called by one goroutine at a time.
type RetryListener struct {
	net.Listener
	Clock Clock
	Log   *logrus.Entry

	failures int // Since the last connection.
}

// ListenRetrying listens for connections on the address with a [RetryListener].
func ListenRetrying(n Network, address string, c Clock, log *logrus.Entry) (net.Listener, error) {
	l, err := n.Listen(address)
	if err != nil {
		return nil, err
	}
	return &RetryListener{Listener: l, Clock: c, Log: log}, nil
}

// Accept implements [net.Listener].
func (l *RetryListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil {
			l.logRecovery()
			return conn, nil
		}
		var n net.Error
		if errors.Is(err, net.ErrClosed) || !errors.As(err, &n) {
			return nil, err
		}
		if l.failures++; l.failures == 1 {
			l.Log.WithFields(logrus.Fields{"address": l.Addr().String(), "error": err.Error()}).Warn("failed to accept a connection; retrying")
		}
		<-l.Clock.After(acceptRetryDelay)
	}
}

func (l *RetryListener) logRecovery() {
	if l.failures > 0 {
		l.Log.WithFields(logrus.Fields{"address": l.Addr().String(), "failures": l.failures}).Info("connections are accepted again")
	}
	l.failures = 0
}
