package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bergamotworks/fault"
	"bergamotworks/wire"
)

// clientWriteError means that the response could not be written to the client.
type clientWriteError struct{ cause error }

func (e *clientWriteError) Error() string {
	return "writing the response to the client: " + e.cause.Error()
}
func (e *clientWriteError) Unwrap() error { return e.cause }

// checkResponse returns nil if a target's response is to be forwarded, and
// otherwise the error of the attempt. A status of 500 or above is an error, so
// that the request is retried, if the request is retryable, mayRetry allows a
// further attempt and the retry budget has one left.
func (x *exchange) checkResponse(resp *wire.Response, mayRetry bool) error {
	n := x.server.Names
	if resp.Status == http.StatusMisdirectedRequest {
		return fault.New(fault.Conflict, fault.NotRun, "another target has the address of %s", x.target)
	}
	if resp.Headers.Get(n.NotRun) != "" {
		return x.rejection(resp)
	}
	if resp.Headers.Get(n.Seal) == "" {
		return fault.New(fault.TargetFailed, fault.MayHaveRun, "status %d without the target's seal", resp.Status)
	}
	if resp.Headers.Get("Content-Encoding") != "" {
		return fault.New(fault.TargetFailed, fault.MayHaveRun, "the answer is encoded")
	}
	if resp.Status >= 500 && x.route.Retryable() && mayRetry && x.server.takeRetry(x.service, x.server.Clock.Now()) {
		x.skipRetryCharge = true
		return fault.New(fault.TargetFailed, fault.MayHaveRun, "status %d", resp.Status)
	}
	if impliesNotRun(resp.Status) && (x.copies.continued || !x.route.Retryable()) {
		return fault.New(fault.TargetFailed, fault.MayHaveRun, "status %d does not say that the request has not run", resp.Status)
	}
	return nil
}

// rejection returns the error for a response that says that the target did not
// run the request.
func (x *exchange) rejection(resp *wire.Response) error {
	switch resp.Status {
	case http.StatusConflict:
		return fault.New(fault.Expired, fault.NotRun, "a stage's result is gone").WithRetryAfter(noTargetRetryAfter)
	case http.StatusBadRequest:
		return fault.New(fault.TargetFailed, fault.NotRun, "the target rejected the request as malformed")
	}
	return fault.New(fault.Busy, fault.NotRun, "the target rejected the request with status %d", resp.Status)
}

// impliesNotRun reports whether clients take the status to mean that the
// request did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// statusCode returns the HTTP status of the response for an error.
func statusCode(e *fault.Error) int {
	if e.Verdict != fault.NotRun {
		if e.Kind == fault.DeadlineExceeded {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	switch e.Kind {
	case fault.Invalid:
		return http.StatusBadRequest
	case fault.NotFound:
		return http.StatusNotFound
	case fault.Unauthorized:
		return http.StatusUnauthorized
	case fault.TooLarge:
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusServiceUnavailable
}

// fail responds with an error, unless the response has already started or the
// client has disconnected. The retry delay is at most a third of the time that
// the client would still wait. It reports whether the connection can be reused.
func (x *exchange) fail(err error) bool {
	e := x.afterShutdown(fault.From(err))
	x.err = e
	x.server.counters.recordFailure(e.Kind)
	if x.headerSent {
		_ = x.client.output.drain() // The events that have arrived; the connection is closed in either case.
		return false
	}
	x.status = statusCode(e)
	if e.Kind == fault.Canceled {
		return false
	}
	if !x.deadline.IsZero() && e.RetryAfter > 0 && x.server.PriorityAdmission {
		e = x.spreadRetry(e)
	} else if !x.deadline.IsZero() && e.RetryAfter > 0 {
		e = e.WithRetryAfter(min(e.RetryAfter, max(0, x.timeLeft()/3)))
	}
	x.client.setWriteTimeout(x.timeLeft())
	closeConn := x.client.server.draining.Load()
	x.client.writeError(x.request.Method, x.id, e, closeConn)
	if err := x.client.flush(); err != nil {
		return false
	}
	x.complete = true
	return true
}

// afterShutdown returns e, or the error of a request that was canceled because this
// node shuts down.
func (x *exchange) afterShutdown(e *fault.Error) *fault.Error {
	if !errors.Is(context.Cause(x.client.context), errShuttingDown) {
		return e
	}
	ended := fault.New(fault.Unavailable, e.Verdict, "this node shuts down; %s", e.Message)
	if e.Verdict == fault.NotRun {
		return ended.WithRetryAfter(shutdownRetryAfter)
	}
	return ended
}

// setWriteTimeout allows writeGrace beyond the timeout for writing the
// response.
func (c *clientConn) setWriteTimeout(timeout time.Duration) {
	c.output.deadline = c.server.Clock.Now().Add(max(0, timeout) + writeGrace)
}

// writeError writes a response for an error of this node, without its body if the method
// of the request is HEAD. The identifier of the request and its method may be empty if
// they are not known.
func (c *clientConn) writeError(method, id string, e *fault.Error, closeConn bool) {
	status := statusCode(e)
	body := fmt.Sprintf("%s\n", e.Message)
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", c.server.Names.Request, id)
	}
	if e.RetryAfter > 0 {
		fmt.Fprintf(&b, "Retry-After: %s\r\n", strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64))
	}
	if closeConn {
		b.WriteString("Connection: close\r\n")
	}
	fmt.Fprintf(&b, "Content-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n\r\n", len(body))
	if method != http.MethodHead {
		b.WriteString(body)
	}
	_, _ = c.writer.WriteString(b.String()) // Flush reports the error.
}
