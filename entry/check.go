package entry

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"bergamotworks/fault"
	"bergamotworks/flow"
	"bergamotworks/note"
)

// Header fields of requests, and HeaderRequestID, which is set on responses.
const (
	HeaderAccount            = "X-Account" // Name of the client account.
	HeaderIdempotencyKey     = "Idempotency-Key"
	HeaderIdempotencyCreated = "Idempotency-Created" // Creation time of the key, RFC 3339 or Unix milliseconds.
	HeaderDeadline           = "X-Deadline-Ms"       // Time until the deadline in milliseconds.
	HeaderRequestID          = "X-Request-Id"
)

const (
	pipelinePrefix         = "/v1/pipelines/"
	maxIdempotencyKeyBytes = 128
	maxDeadline            = 24 * time.Hour
)

// requestBody is the JSON body of a request.
type requestBody struct {
	Input  json.RawMessage `json:"input"`
	Stream bool            `json:"stream"`
}

// parseRequest validates an HTTP request and converts it to a request for the
// flow. The body is parsed last, because the other checks are cheaper. If there
// is an error, the returned request has an ID only if the pipeline exists. An
// idempotency key is required, and its creation time determined, only for a
// pipeline that is not idempotent.
func (s *Server) parseRequest(ctx *fasthttp.RequestCtx, now time.Time) (flow.Request, error) {
	config := s.Config()
	name := strings.TrimPrefix(string(ctx.Path()), pipelinePrefix)
	pipeline, ok := config.Sections.Pipelines[name]
	if !ok {
		return flow.Request{}, fault.New(fault.NotFound, fault.NotRun, "no pipeline %q", name).WithField("pipeline")
	}
	request := flow.Request{ID: uuid.NewString(), Pipeline: name}
	checks := []func() error{
		func() error { return checkMediaType(ctx) },
		func() error { return checkAccount(ctx, config, &request) },
		func() error { return s.checkIdempotencyKey(ctx, pipeline, &request) },
		func() error { return checkDeadline(ctx, pipeline, now, &request) },
		func() error { return checkBody(ctx, config, pipeline, &request) },
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return request, err
		}
	}
	return request, nil
}

func checkMediaType(ctx *fasthttp.RequestCtx) error {
	mediaType, _, _ := strings.Cut(string(ctx.Request.Header.ContentType()), ";")
	switch strings.TrimSpace(mediaType) {
	case "", "application/json", "application/octet-stream":
	default:
		return fault.InvalidField("content_type", "%q is not application/json", mediaType)
	}
	if encoding := ctx.Request.Header.ContentEncoding(); len(encoding) > 0 {
		return fault.InvalidField("content_encoding", "%q is not supported", encoding)
	}
	return nil
}

func checkAccount(ctx *fasthttp.RequestCtx, config note.Config, request *flow.Request) error {
	request.Account = string(ctx.Request.Header.Peek(HeaderAccount))
	if request.Account == "" {
		return fault.InvalidField("x_account", "header %s is missing", HeaderAccount)
	}
	account, ok := config.Sections.Accounts[request.Account]
	if !ok {
		return fault.New(fault.Unauthorized, fault.NotRun, "unknown client account").WithField("x_account")
	}
	if account.KeyHash == "" {
		return nil
	}
	secret := strings.TrimPrefix(string(ctx.Request.Header.Peek("Authorization")), "Bearer ")
	hash := sha256.Sum256([]byte(secret))
	given := hex.EncodeToString(hash[:])
	if subtle.ConstantTimeCompare([]byte(given), []byte(strings.ToLower(account.KeyHash))) != 1 {
		return fault.New(fault.Unauthorized, fault.NotRun, "wrong key for the client account").WithField("authorization")
	}
	return nil
}

func (s *Server) checkIdempotencyKey(ctx *fasthttp.RequestCtx, pipeline note.Pipeline, request *flow.Request) error {
	request.Key = string(ctx.Request.Header.Peek(HeaderIdempotencyKey))
	if len(request.Key) > maxIdempotencyKeyBytes {
		return fault.InvalidField("idempotency_key", "longer than %d bytes", maxIdempotencyKeyBytes)
	}
	if pipeline.Idempotent() {
		return nil
	}
	if request.Key == "" {
		return fault.InvalidField("idempotency_key", "pipeline %s is not idempotent and needs header %s", request.Pipeline, HeaderIdempotencyKey)
	}
	created := string(ctx.Request.Header.Peek(HeaderIdempotencyCreated))
	var err error
	request.KeyCreatedAt, err = s.KeyTime(request.Key, created)
	return err
}

func checkDeadline(ctx *fasthttp.RequestCtx, pipeline note.Pipeline, now time.Time, request *flow.Request) error {
	text := string(ctx.Request.Header.Peek(HeaderDeadline))
	if text == "" {
		request.Deadline = now.Add(pipeline.Timeout())
		return nil
	}
	milliseconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil || milliseconds <= 0 || milliseconds > maxDeadline.Milliseconds() {
		return fault.InvalidField("x_deadline_ms", "%q is not a number of milliseconds from 1 to %d", text, maxDeadline.Milliseconds())
	}
	request.Deadline = now.Add(time.Duration(milliseconds) * time.Millisecond)
	return nil
}

func checkBody(ctx *fasthttp.RequestCtx, config note.Config, pipeline note.Pipeline, request *flow.Request) error {
	text := ctx.Request.Body()
	if limit := config.Limits().MaxBodyBytes; len(text) > limit {
		return fault.New(fault.TooLarge, fault.NotRun, "body has %d bytes, the limit is %d", len(text), limit).WithField("body")
	}
	parsed, err := parseBody(text)
	if err != nil {
		return err
	}
	if parsed.Stream && !supportsStreaming(config, pipeline) {
		return fault.InvalidField("stream", "pipeline %s does not end in a generate stage", request.Pipeline)
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, parsed.Input); err != nil {
		return fault.InvalidField("input", "%s", err)
	}
	request.Input = compact.Bytes()
	request.Stream = parsed.Stream
	request.Fingerprint = flow.Fingerprint(request.Pipeline, request.Input)
	return nil
}

func parseBody(text []byte) (requestBody, error) {
	var parsed requestBody
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&parsed); err != nil {
		return parsed, fault.InvalidField(bodyField(err), "%s", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return parsed, fault.InvalidField("body", "text after the JSON object")
	}
	if len(parsed.Input) == 0 {
		return parsed, fault.InvalidField("input", "missing")
	}
	return parsed, nil
}

// bodyField returns the name of the field that a decoding error is about, or
// "body" if the error names none.
func bodyField(err error) string {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) && typeErr.Field != "" {
		return typeErr.Field
	}
	if _, name, ok := strings.Cut(err.Error(), "unknown field "); ok {
		return strings.Trim(name, `"`)
	}
	return "body"
}

func supportsStreaming(config note.Config, pipeline note.Pipeline) bool {
	last := pipeline.Stages[len(pipeline.Stages)-1]
	return config.Sections.Services[last.Service].Kind == note.Generate
}
