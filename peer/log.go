package peer

import "github.com/sirupsen/logrus"

// protocolLog passes the messages of the JSON-RPC library on at debug level.
type protocolLog struct{ log *logrus.Entry }

// Printf logs one message.
func (p protocolLog) Printf(format string, args ...any) {
	if p.log != nil {
		p.log.Debugf(format, args...)
	}
}
