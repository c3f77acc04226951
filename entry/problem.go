package entry

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"bergamotworks/fault"
)

// Problem is the body of an error response, a problem document of RFC 9457.
type Problem struct {
	Type      string        `json:"type"`
	Title     string        `json:"title"`
	Status    int           `json:"status"`
	Detail    string        `json:"detail"`
	Kind      fault.Kind    `json:"kind"`
	Verdict   fault.Verdict `json:"verdict"`
	Field     string        `json:"field,omitempty"`
	RequestID string        `json:"request_id,omitempty"`
	// RetryAfterMS is the time in milliseconds after which the client may retry.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// NewProblem returns the problem document for an error. The message of the error
// becomes the detail. The requestID may be empty.
func NewProblem(err error, requestID string) Problem {
	fe := fault.From(err)
	return Problem{
		Type:         "about:blank#" + fe.Kind.String(),
		Title:        title(fe.Verdict),
		Status:       status(fe.Kind),
		Detail:       fe.Message,
		Kind:         fe.Kind,
		Verdict:      fe.Verdict,
		Field:        fe.Field,
		RequestID:    requestID,
		RetryAfterMS: fe.RetryAfter.Milliseconds(),
	}
}

func title(verdict fault.Verdict) string {
	switch verdict {
	case fault.NotRun:
		return "The request has not run."
	case fault.Ran:
		return "The request has run."
	default:
		return "The request may have run."
	}
}

func status(kind fault.Kind) int {
	switch kind {
	case fault.Invalid:
		return fasthttp.StatusBadRequest
	case fault.Unauthorized:
		return fasthttp.StatusUnauthorized
	case fault.NotFound:
		return fasthttp.StatusNotFound
	case fault.TooLarge:
		return fasthttp.StatusRequestEntityTooLarge
	case fault.Conflict, fault.Duplicate:
		return fasthttp.StatusConflict
	case fault.Expired:
		return fasthttp.StatusGone
	case fault.Quarantined:
		return fasthttp.StatusUnprocessableEntity
	case fault.Busy:
		return fasthttp.StatusTooManyRequests
	case fault.Unavailable:
		return fasthttp.StatusServiceUnavailable
	case fault.DeadlineExceeded:
		return fasthttp.StatusGatewayTimeout
	case fault.TargetFailed, fault.ConnectionLost:
		return fasthttp.StatusBadGateway
	default:
		return fasthttp.StatusInternalServerError
	}
}

// Write sets the response to the problem, with the headers Content-Type and
// Retry-After.
func (p Problem) Write(ctx *fasthttp.RequestCtx) {
	body, err := json.Marshal(p)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(p.Status)
	ctx.SetContentType("application/problem+json")
	if p.RetryAfterMS > 0 {
		ctx.Response.Header.Set("Retry-After", retryAfterSeconds(p.RetryAfterMS))
	}
	ctx.SetBody(body)
}

// retryAfterSeconds rounds up to whole seconds, the unit of the Retry-After
// header.
func retryAfterSeconds(milliseconds int64) string {
	wait := time.Duration(milliseconds) * time.Millisecond
	return strconv.Itoa(int(math.Ceil(wait.Seconds())))
}
