package relay

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bergamotworks/fault"
	"bergamotworks/wire"
)

// callerGone means that an answer could not be written to the caller.
type callerGone struct{ cause error }

func (e *callerGone) Error() string { return "the caller does not take the answer: " + e.cause.Error() }
func (e *callerGone) Unwrap() error { return e.cause }

// judge decides whether an answer is passed on. Another says whether a further
// target may have the request.
func (j *job) judge(a *wire.Answer, another bool) error {
	n := j.server.Names
	if a.Status == http.StatusMisdirectedRequest {
		return fault.New(fault.Conflict, fault.NotRun, "another target has the address of %s", j.target)
	}
	if a.Headers.Get(n.NotRun) != "" {
		return j.refused(a)
	}
	if a.Headers.Get(n.Seal) == "" {
		return fault.New(fault.TargetFailed, fault.MayHaveRun, "status %d without the target's seal", a.Status)
	}
	if a.Headers.Get("Content-Encoding") != "" {
		return fault.New(fault.TargetFailed, fault.MayHaveRun, "the answer is encoded")
	}
	if a.Status >= 500 && j.route.Retryable() && another && j.server.spend(j.service, j.server.Clock.Now()) {
		j.prepaid = true
		return fault.New(fault.TargetFailed, fault.MayHaveRun, "status %d", a.Status)
	}
	if promises(a.Status) && !j.route.Retryable() {
		return fault.New(fault.TargetFailed, fault.MayHaveRun, "status %d does not say that the request has not run", a.Status)
	}
	return nil
}

// refused returns the error of a request that a target has not run.
func (j *job) refused(a *wire.Answer) error {
	switch a.Status {
	case http.StatusConflict:
		return fault.New(fault.Expired, fault.NotRun, "a stage's result is gone").WithRetryAfter(noTargetRetry)
	case http.StatusBadRequest:
		return fault.New(fault.TargetFailed, fault.NotRun, "the target finds the request malformed")
	}
	return fault.New(fault.Busy, fault.NotRun, "the target refuses with status %d", a.Status)
}

// promises reports whether callers read the status as a promise that the
// request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// statusOf returns the status that tells a caller of an error.
func statusOf(e *fault.Error) int {
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

// refuse answers with an error and reports whether the connection can be kept.
func (j *job) refuse(err error) bool {
	e := fault.From(err)
	j.err = err
	j.server.counters.refuse(e.Kind)
	if j.begun {
		return false
	}
	j.status = statusOf(e)
	if e.Kind == fault.Canceled {
		return false
	}
	if !j.limit.IsZero() && e.RetryAfter > 0 {
		e = e.WithRetryAfter(min(e.RetryAfter, max(0, j.left()/3)))
	}
	j.session.allowWrite(j.left())
	closing := j.session.server.draining.Load()
	writeRefusal(j.session.writer, j.server.Names.Request, j.id, e, closing)
	if err := j.session.writer.Flush(); err != nil {
		return false
	}
	j.finished = true
	return true
}

// allowWrite bounds the time for writing an answer.
func (c *session) allowWrite(left time.Duration) {
	_ = c.conn.SetWriteDeadline(c.server.Clock.Now().Add(max(0, left) + writeSlack)) // An error shows up at the next write.
}

// writeRefusal writes an answer of the node's own.
func writeRefusal(w *bufio.Writer, idName, id string, e *fault.Error, closing bool) {
	status := statusOf(e)
	body := fmt.Sprintf("%s\n", e.Message)
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", idName, id)
	}
	if e.RetryAfter > 0 {
		fmt.Fprintf(&b, "Retry-After: %s\r\n", strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64))
	}
	if closing {
		b.WriteString("Connection: close\r\n")
	}
	fmt.Fprintf(&b, "Content-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	_, _ = w.WriteString(b.String()) // Errors show up when the buffer is flushed.
}
