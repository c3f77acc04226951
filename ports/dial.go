package ports

import (
	"context"
	"net"
	"time"
)

// DialError is a failure to connect, before anything was sent.
type DialError struct{ Cause error }

// Error says that connecting failed and why.
func (e *DialError) Error() string { return "connect: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// Dialer returns a dial function for HTTP clients over a network. Its errors
// are of type *DialError. A connection that gets no timeout is given the
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
