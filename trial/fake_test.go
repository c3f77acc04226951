package trial

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"bergamotworks/engine"
	"bergamotworks/fault"
	"bergamotworks/note"
	"bergamotworks/ports"
)

// fakeSystem is a single node that runs stages on targets round robin. If defect
// is set, it violates a property on purpose.
type fakeSystem struct {
	network  ports.Network
	defect   string
	server   *fasthttp.Server
	listener net.Listener
	client   *engine.Client
	group    sync.WaitGroup

	mutex  sync.Mutex
	config note.Config
	count  int
	last   json.RawMessage // Output of the previous request.
	keys   map[string]bool // Idempotency keys of all requests so far.
}

func (f *fakeSystem) start(_ context.Context, config note.Config, _ string) (System, error) {
	f.config = config
	f.client = &engine.Client{Network: f.network, Clock: ports.SystemClock{}}
	f.server = &fasthttp.Server{Handler: f.serve, NoDefaultDate: true}
	listener, err := f.network.Listen("node:0")
	if err != nil {
		return nil, err
	}
	f.listener = listener
	f.group.Add(1)
	go f.run()
	return f, nil
}

func (f *fakeSystem) run() {
	defer f.group.Done()
	_ = f.server.Serve(f.listener)
}

func (f *fakeSystem) Addresses() []string       { return []string{f.listener.Addr().String()} }
func (f *fakeSystem) Nodes() int                { return 1 }
func (f *fakeSystem) KillNode(int) error        { return nil }
func (f *fakeSystem) StopNode(int) error        { return nil }
func (f *fakeSystem) RestartNode(int) error     { return nil }
func (f *fakeSystem) SetStore(StoreFault) error { return nil }

func (f *fakeSystem) Close() error {
	_ = f.listener.Close()
	f.group.Wait()
	return f.client.Close()
}

func (f *fakeSystem) Config() note.Config {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.config
}

func (f *fakeSystem) Submit(_ context.Context, change note.Note) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if change.BaseRevision != f.config.Revision && f.defect != "last_writer_wins" {
		return fault.New(fault.Conflict, fault.NotRun, "revision %d", f.config.Revision)
	}
	sections := f.config.Sections
	sections.Domains = maps.Clone(sections.Domains)
	maps.Copy(sections.Domains, change.Changed.Domains)
	sections.Accounts = maps.Clone(sections.Accounts)
	maps.Copy(sections.Accounts, change.Changed.Accounts)
	f.config = f.config.WithSections(sections).WithRevision(f.config.Revision+1, change.ID)
	return nil
}

func (f *fakeSystem) serve(ctx *fasthttp.RequestCtx) {
	var body struct {
		Input  json.RawMessage `json:"input"`
		Stream bool            `json:"stream"`
	}
	if json.Unmarshal(ctx.PostBody(), &body) != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	pipeline := strings.TrimPrefix(string(ctx.Path()), pipelinePrefix)
	if f.defect == "forgets" && f.seenBefore(ctx) {
		f.writeError(ctx, fault.New(fault.Busy, fault.NotRun, "busy"))
		return
	}
	output, err := f.pipeline(pipeline, body.Input)
	if f.defect == "forgets" {
		err = fault.New(fault.ConnectionLost, fault.MayHaveRun, "lost")
	}
	if err != nil {
		f.writeError(ctx, err)
		return
	}
	if body.Stream {
		f.stream(ctx, output)
		return
	}
	ctx.SetBodyString(fmt.Sprintf(`{"output":%s}`, f.outputOrPrevious(output)))
}

// seenBefore reports whether an earlier request had the same idempotency key.
func (f *fakeSystem) seenBefore(ctx *fasthttp.RequestCtx) bool {
	key := string(ctx.Request.Header.Peek(engine.HeaderIdempotencyKey))
	f.mutex.Lock()
	defer f.mutex.Unlock()
	seen := f.keys[key]
	if f.keys == nil {
		f.keys = make(map[string]bool)
	}
	f.keys[key] = true
	return seen
}

// stream writes the tokens of an output as events and then the output.
func (f *fakeSystem) stream(ctx *fasthttp.RequestCtx, output json.RawMessage) {
	var generated struct {
		Text string `json:"text"`
	}
	_ = json.Unmarshal(output, &generated) // An empty text fails the run.
	ctx.SetContentType("text/event-stream")
	var events strings.Builder
	for i, word := range strings.Fields(generated.Text) {
		if i == 1 && f.defect == "gap" {
			continue
		}
		fmt.Fprintf(&events, "event: token\ndata: {\"position\":%d,\"text\":\" %s\"}\n\n", i, word)
	}
	if f.defect != "cut" {
		fmt.Fprintf(&events, "event: answer\ndata: {\"output\":%s}\n\n", output)
	}
	ctx.SetBodyStream(strings.NewReader(events.String()), -1)
}

func (f *fakeSystem) writeError(ctx *fasthttp.RequestCtx, err error) {
	verdict := fault.VerdictOf(err)
	if f.defect == "always_not_run" {
		verdict = fault.NotRun
	}
	text, _ := json.Marshal(problem{Kind: fault.From(err).Kind, Verdict: verdict})
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.SetBody(text)
}

// outputOrPrevious returns the output. With the defect "crossed" it returns the
// output of the previous request instead.
func (f *fakeSystem) outputOrPrevious(output json.RawMessage) json.RawMessage {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	previous := f.last
	f.last = output
	if f.defect == "crossed" && previous != nil {
		return previous
	}
	return output
}

func (f *fakeSystem) pipeline(name string, input json.RawMessage) (json.RawMessage, error) {
	var previous json.RawMessage
	stages := f.Config().Sections.Pipelines[name].Stages
	for i, v := range stages {
		resp, err := f.stage(v, input, previous)
		if f.defect == "repeats" || f.defect == "double" && !v.Idempotent {
			resp, err = f.stage(v, input, previous)
		}
		if f.defect == "always_not_run" && i == len(stages)-1 {
			err = fault.New(fault.Internal, fault.MayHaveRun, "broken")
		}
		if err != nil {
			return nil, err
		}
		previous = resp.Output
	}
	return previous, nil
}

func (f *fakeSystem) stage(stage note.Stage, input, previous json.RawMessage) (engine.Response, error) {
	config := f.Config()
	service := config.Sections.Services[stage.Service]
	target, attempt := f.pick(config, stage.Service)
	return f.client.Do(context.Background(), engine.Call{
		Target: target, Address: config.Sections.Targets[target].Address, Kind: service.Kind,
		Attempt: attempt, IdempotencyKey: "k", Idempotent: stage.Idempotent,
		Input: input, Previous: previous, MaxTokens: stage.MaxTokens,
		Deadline: time.Now().Add(time.Minute),
	}, nil)
}

// pick returns the next target of a service whose failure domain is not drained, and
// the ID of an attempt.
func (f *fakeSystem) pick(config note.Config, service string) (target, attempt string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.count++
	var usable []string
	for _, name := range slices.Sorted(maps.Keys(config.Sections.Targets)) {
		t := config.Sections.Targets[name]
		drained := config.Sections.Domains[t.Domain].State == note.OutOfService
		if t.Service == service && (!drained || f.defect == "ignores_departure") {
			usable = append(usable, name)
		}
	}
	return usable[f.count%len(usable)], fmt.Sprintf("a%d", f.count)
}
