package ports

import (
	"context"
	"net"
	"time"
)

// DialError is a failure to connect; nothing has been sent.
type DialError struct{ Cause error }

// Error returns the message of the cause with the prefix "connect: ".
func (e *DialError) Error() string { return "connect: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// Dialer returns a dial function for HTTP clients that uses the given network.
// Its errors are of type *DialError. A timeout of zero or less is replaced by
// fallback.
func Dialer(network Network, fallback time.Duration) func(address string, timeout time.Duration) (net.Conn, error) {
	return func(address string, timeout time.Duration) (net.Conn, error) {
		if timeout <= 0 {
			timeout = fallback
		}
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		conn, err := network.Dial(ctx, address)
		if err != nil {
			return nil, &DialError{Cause: err}
		}
		return conn, nil
	}
}
