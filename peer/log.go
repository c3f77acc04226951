package peer

import "github.com/sirupsen/logrus"

// protocolLogger logs the messages of the JSON-RPC library at debug level.
type protocolLogger struct{ log *logrus.Entry }

// Printf logs one message; it does nothing without a log.
func (p protocolLogger) Printf(format string, args ...any) {
	if p.log != nil {
		p.log.Debugf(format, args...)
	}
}
