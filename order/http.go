package order

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"bergamotworks/fault"
	"bergamotworks/note"
	"bergamotworks/ports"
)

// FenceHeader carries the fencing number of an order.
const FenceHeader = "X-Fencing-Token"

// The paths of the engines' HTTP interface. Loading of models and change of role
// have no published path; these are our own.
const (
	pathModels        = "/v1/models"
	pathLoadAdapter   = "/v1/load_lora_adapter"
	pathUnloadAdapter = "/v1/unload_lora_adapter"
	pathLoadModel     = "/v1/load_model"
	pathChangeRole    = "/v1/change_role"
)

// HTTPEngine is an [Engine] over HTTP. Network must be set before the first
// call. It never sends an order twice.
type HTTPEngine struct {
	Network ports.Network

	once sync.Once
	http *fasthttp.Client
}

// modelList is the answer to a list of models. Adapters are the models with a
// parent; role and incarnation are extensions that an engine may leave out.
type modelList struct {
	Data        []model `json:"data"`
	Role        string  `json:"role,omitempty"`
	Incarnation string  `json:"incarnation,omitempty"`
}

type model struct {
	ID     string `json:"id"`
	Root   string `json:"root,omitempty"`
	Parent string `json:"parent,omitempty"`
}

type adapterBody struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path,omitempty"`
}

type modelBody struct {
	Model   string `json:"model"`
	Version string `json:"version,omitempty"`
}

type roleBody struct {
	Role string `json:"role"`
}

// State reads the state of the engine at an address.
func (e *HTTPEngine) State(ctx context.Context, address string) (EngineState, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI("http://" + address + pathModels)
	var list modelList
	body, err := e.call(ctx, request)
	if err != nil {
		return EngineState{}, err
	}
	if err := json.Unmarshal(body, &list); err != nil {
		return EngineState{}, fault.New(fault.TargetFailed, fault.Ran, "decode %s: %s", pathModels, err)
	}
	return list.state(), nil
}

func (l modelList) state() EngineState {
	s := EngineState{Adapters: map[string]string{}, Role: l.Role, Incarnation: l.Incarnation}
	for _, m := range l.Data {
		if m.Parent != "" {
			s.Adapters[m.ID] = m.Root
		} else {
			s.Model, s.ModelVersion = m.ID, m.Root
		}
	}
	return s
}

// Apply sends a command once and waits until it has run. The version of an
// adapter is its path.
func (e *HTTPEngine) Apply(ctx context.Context, address string, command Command) error {
	path, body := commandBody(command)
	encoded, err := json.Marshal(body)
	if err != nil {
		return fault.New(fault.Internal, fault.NotRun, "encode %s: %s", path, err)
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.Header.Set(FenceHeader, strconv.FormatInt(command.Fence, 10))
	request.SetRequestURI("http://" + address + path)
	request.SetBodyRaw(encoded)
	_, err = e.call(ctx, request)
	return err
}

func commandBody(c Command) (string, any) {
	switch c.Kind {
	case note.LoadAdapter:
		return pathLoadAdapter, adapterBody{Name: c.Subject, Path: c.Version}
	case note.UnloadAdapter:
		return pathUnloadAdapter, adapterBody{Name: c.Subject}
	case note.LoadModel:
		return pathLoadModel, modelBody{Model: c.Subject, Version: c.Version}
	}
	return pathChangeRole, roleBody{Role: c.Subject}
}

// call returns the body of an answer with status 200.
func (e *HTTPEngine) call(ctx context.Context, request *fasthttp.Request) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, fault.From(err).WithVerdict(fault.NotRun)
	}
	// A connection that was kept may have gone silent, which would leave the
	// outcome of an order open.
	request.SetConnectionClose()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(callTimeout)
	}
	if err := e.client().DoDeadline(request, response, deadline); err != nil {
		return nil, failed(err)
	}
	if status := response.StatusCode(); status != fasthttp.StatusOK {
		return nil, refused(status, response.Body())
	}
	return append([]byte(nil), response.Body()...), nil
}

// failed returns the error of a call without an answer.
func failed(err error) error {
	var dial *ports.DialError
	if errors.As(err, &dial) {
		return fault.New(fault.Unavailable, fault.NotRun, "engine: %s", dial)
	}
	if errors.Is(err, fasthttp.ErrTimeout) {
		return fault.New(fault.DeadlineExceeded, fault.MayHaveRun, "no answer of the engine in time")
	}
	if errors.Is(err, fasthttp.ErrConnectionClosed) {
		return fault.New(fault.ConnectionLost, fault.MayHaveRun, "engine closed the connection without an answer")
	}
	return fault.New(fault.ConnectionLost, fault.MayHaveRun, "connection to the engine: %s", err)
}

// refused returns the error of an answer with another status than 200. An
// engine that answers with a status of 400 to 499 has not run the order.
func refused(status int, body []byte) error {
	const most = 200
	text := string(body[:min(len(body), most)])
	switch {
	case status == fasthttp.StatusConflict:
		return fault.New(fault.Conflict, fault.NotRun, "old fencing number: %s", text)
	case status >= 400 && status < 500:
		return fault.New(fault.TargetFailed, fault.NotRun, "engine answered %d: %s", status, text)
	}
	return fault.New(fault.TargetFailed, fault.MayHaveRun, "engine answered %d: %s", status, text)
}

// Close closes the idle connections.
func (e *HTTPEngine) Close() error {
	e.client().CloseIdleConnections()
	return nil
}

func (e *HTTPEngine) client() *fasthttp.Client {
	e.once.Do(func() {
		e.http = &fasthttp.Client{
			DialTimeout:               ports.Dialer(e.Network, callTimeout),
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                neverRetry,
			NoDefaultUserAgentHeader:  true,
			MaxResponseBodySize:       1 << 20,
		}
	})
	return e.http
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }
