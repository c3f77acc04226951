package engine

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"bergamotworks/fault"
	"bergamotworks/note"
	"bergamotworks/ports"
	"bergamotworks/wire"
)

// The defaults of the limits of a [Client].
const (
	defaultConnectTimeout   = 500 * time.Millisecond
	defaultFirstByteTimeout = 10 * time.Second
	defaultProgressTimeout  = 2 * time.Second
	defaultIdleTimeout      = 30 * time.Second
	defaultMaxResponseBytes = 8 << 20
	maxLineBytes            = 1 << 20 // Size limit of a line of a stream.
	// maxReportBytes is the size limit of a load report and of the response to an order.
	// A list of as many empty strings takes five times the memory.
	maxReportBytes = 32 << 10
	// maxCacheEventsBytes is the size limit of a list of cache events. It has room for
	// 50,000 prefixes.
	maxCacheEventsBytes = 1 << 20
)

// Client calls targets. Its exported fields are set before the first call. It is
// safe for concurrent use. Clock and Network must use the same time, since
// timeouts are set as deadlines of connections.
type Client struct {
	Network ports.Network
	Clock   ports.Clock
	Log     logrus.FieldLogger // May be nil.
	Metrics *metrics.Set       // May be nil.

	ConnectTimeout time.Duration // Zero means 500 ms.
	// FirstByteTimeout bounds the wait for the header of a response and the first
	// line of a stream; zero means 10 s.
	FirstByteTimeout time.Duration
	// ProgressTimeout bounds the wait for the body of a response that is not a
	// stream and for each further line of a stream; zero means 2 s.
	ProgressTimeout  time.Duration
	IdleTimeout      time.Duration // Idle connections are closed after it; zero means 30 s.
	MaxResponseBytes int           // Of a response to a call; zero means 8 MiB.

	idle    wire.IdleConns
	buffers wire.BufferBudget // Limits the memory of the responses of all calls together.
	counts  counters
}

// Do sends the call and returns the complete response. For a model engine,
// onChunk, unless nil, is called with every chunk in order before Do returns.
// When the context is done, the connection is closed, which cancels the call at
// the target.
//
// Errors are of type *Failure. The verdict is NotRun only if the call was not
// sent or the target rejected it before running it. With an error, the response may
// hold the text that a model engine has generated so far.
func (c *Client) Do(ctx context.Context, call Call, onChunk func(Chunk)) (Response, error) {
	if call.Attempt == "" {
		return Response{}, notRun(Unknown, fault.Invalid, "the call names no attempt")
	}
	if call.complete() {
		return Response{Text: call.Resume, Tokens: call.ResumeTokens, Output: TextOutput(call.Resume)}, nil
	}
	a := attempt{client: c, call: call, started: c.Clock.Now(), deadline: earliest(ctx, call.Deadline)}
	response, failure := a.run(ctx, onChunk)
	c.observe(call, failure, response)
	if failure != nil {
		return response, failure
	}
	return response, nil
}

// Close closes the idle connections and drops the memory for bodies that is kept for
// reuse. Calls in flight keep theirs until they end.
func (c *Client) Close() error {
	c.idle.Close()
	c.buffers.Close()
	return nil
}

// observe updates the metrics for a call and logs its failure, if any.
func (c *Client) observe(call Call, failure *Failure, response Response) {
	c.counts.add(c.Metrics, call.Kind, failure, response)
	if failure == nil || c.Log == nil {
		return
	}
	c.Log.WithFields(logrus.Fields{
		"target":  call.Target,
		"attempt": call.Attempt,
		"cause":   failure.Cause.String(),
		"verdict": failure.Fault.Verdict.String(),
	}).Debug(failure.Fault.Message)
}

// earliest returns the earlier of the context's deadline and the given one, where
// the zero time means no deadline.
func earliest(ctx context.Context, deadline time.Time) time.Time {
	limit, ok := ctx.Deadline()
	if ok && (deadline.IsZero() || limit.Before(deadline)) {
		return limit
	}
	return deadline
}

func (c *Client) connectTimeout() time.Duration {
	return orDefault(c.ConnectTimeout, defaultConnectTimeout)
}

func (c *Client) progressTimeout() time.Duration {
	return orDefault(c.ProgressTimeout, defaultProgressTimeout)
}

func (c *Client) firstByteTimeout(call Call) time.Duration {
	return orDefault(call.FirstByteTimeout, orDefault(c.FirstByteTimeout, defaultFirstByteTimeout))
}

func (c *Client) idleTimeout() time.Duration {
	return orDefault(c.IdleTimeout, defaultIdleTimeout)
}

func (c *Client) maxResponseBytes() int {
	return orDefault(c.MaxResponseBytes, defaultMaxResponseBytes)
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

// path returns the URL path of calls of a stage kind.
func path(kind note.StageKind) string {
	switch kind {
	case note.Encode:
		return "/v1/embeddings"
	case note.Retrieve:
		return "/v1/search"
	case note.Rerank:
		return "/v1/rerank"
	case note.Generate:
		return "/v1/completions"
	default:
		return "/v1/call"
	}
}
