package admin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"bergamotworks/burn"
	"bergamotworks/entry"
	"bergamotworks/fault"
	"bergamotworks/note"
	"bergamotworks/owner"
)

// Notes accepts release notes.
type Notes interface {
	// Current returns the configuration in force on this node.
	Current() note.Config
	// CheckNote reports what is wrong with a note, without offering it.
	CheckNote(ctx context.Context, n note.Note) error
	// Offer accepts a note and returns the configuration that it makes.
	Submit(ctx context.Context, n note.Note) (note.Config, error)
}

// Server serves operators. The exported fields are set before [Server.Run].
type Server struct {
	Listener net.Listener
	Notes    Notes
	History  History
	Orders   Orders
	// Status describes this node and what it knows of the others.
	Status func() Status
	// Lagging names the live nodes on which a revision is not in force.
	Lagging func(ctx context.Context, revision int64) []string
	// Burn returns the node's service-level state.
	Burn func() (BurnState, error)
	// Ledger looks up the record of a request for operators.
	Ledger  func(ctx context.Context, account, key, stage string) (any, error)
	Ready   func() error
	Log     *logrus.Entry
	Metrics *metrics.Set

	once sync.Once
	http *fasthttp.Server
}

// Status is what a node tells about itself and the fleet.
type Status struct {
	VM        string             `json:"vm"`
	Revision  int64              `json:"revision"`
	Ready     bool               `json:"ready"`
	Reason    string             `json:"reason,omitempty"`
	Members   []MemberStatus     `json:"members"`
	Pools     []owner.PoolStatus `json:"pools"`
	Domains   []DomainStatus     `json:"domains"`
	Pipelines []PipelineStatus   `json:"pipelines"`
}

// MemberStatus is one node as seen from this one.
type MemberStatus struct {
	VM          string `json:"vm"`
	Domain      string `json:"domain"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	Revision    int64  `json:"revision"`
	Ready       bool   `json:"ready"`
}

// DomainStatus is a failure domain of the configuration.
type DomainStatus struct {
	Domain string `json:"domain"`
	State  string `json:"state"`
}

// PipelineStatus is a pipeline of the configuration.
type PipelineStatus struct {
	Pipeline string `json:"pipeline"`
	Class    string `json:"class"`
	Stages   int    `json:"stages"`
}

// BurnState is what a node has counted, and the changes that it has seen.
type BurnState struct {
	Snapshot burn.Snapshot `json:"snapshot"`
	Changes  []burn.Change `json:"changes"`
}

// LedgerRecord is the ledger's record of a non-idempotent stage call.
type LedgerRecord struct {
	Account     string          `json:"account"`
	Key         string          `json:"key"`
	Stage       string          `json:"stage"`
	State       string          `json:"state"`
	Token       string          `json:"token"` // Starts with the VM that may dispatch the call.
	Fingerprint string          `json:"fingerprint"`
	CreatedMS   int64           `json:"created_ms"` // Creation time of the key in Unix milliseconds.
	Result      json.RawMessage `json:"result,omitempty"`
}

// NoteResponse is the answer to an accepted release note.
type NoteResponse struct {
	NoteID   string   `json:"note_id"`
	Revision int64    `json:"revision"`
	Active   bool     `json:"in_force"`
	Lagging  []string `json:"lagging,omitempty"`
}

const (
	idleTimeout  = 60 * time.Second
	readTimeout  = 30 * time.Second
	maxWait      = 60 * time.Second
	waitInterval = 20 * time.Millisecond
	maxNoteBytes = 4 << 20
)

func (s *Server) init() {
	s.http = &fasthttp.Server{
		Handler: s.handle, Name: "bergamotworks-admin", IdleTimeout: idleTimeout,
		ReadTimeout: readTimeout, MaxRequestBodySize: maxNoteBytes, Logger: s.Log,
	}
}

// Run serves until the context ends or the server is closed.
func (s *Server) Run(ctx context.Context) error {
	s.once.Do(s.init)
	stop := context.AfterFunc(ctx, s.stop)
	defer stop()
	err := s.http.Serve(s.Listener)
	if err == nil || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return trace.Wrap(err)
}

// Close ends the server.
func (s *Server) Close() error {
	s.once.Do(s.init)
	s.stop()
	return trace.Wrap(s.http.Shutdown())
}

func (s *Server) stop() {
	_ = s.Listener.Close()
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Method()) + " " + string(ctx.Path()) {
	case "GET /healthz":
		ctx.SetBodyString("ok\n")
	case "GET /readyz":
		s.serveReadiness(ctx)
	case "GET /metrics":
		s.Metrics.WritePrometheus(ctx)
	case "GET /v1/config":
		reply(ctx, s.Notes.Current())
	case "GET /v1/status":
		reply(ctx, s.Status())
	case "GET /v1/burn":
		s.serveBurn(ctx)
	case "GET /v1/ledger":
		s.serveLedger(ctx)
	case "POST /v1/notes":
		s.serveNote(ctx)
	case "POST /v1/notes/check":
		s.serveCheck(ctx)
	case "GET /v1/notes/history":
		s.serveHistory(ctx)
	case "GET /v1/orders":
		s.serveOrders(ctx)
	case "POST /v1/orders/abandon":
		s.serveAbandon(ctx)
	case "GET /v1/wait":
		s.serveWait(ctx)
	default:
		refuse(ctx, fault.New(fault.NotFound, fault.NotRun, "no resource %s %s", ctx.Method(), ctx.Path()))
	}
}

func (s *Server) serveReadiness(ctx *fasthttp.RequestCtx) {
	if err := s.Ready(); err != nil {
		refuse(ctx, err)
		return
	}
	ctx.SetBodyString("ready\n")
}

func (s *Server) serveBurn(ctx *fasthttp.RequestCtx) {
	state, err := s.Burn()
	if err != nil {
		refuse(ctx, err)
		return
	}
	reply(ctx, state)
}

func (s *Server) serveLedger(ctx *fasthttp.RequestCtx) {
	query := ctx.QueryArgs()
	record, err := s.Ledger(ctx, string(query.Peek("account")), string(query.Peek("key")), string(query.Peek("stage")))
	if err != nil {
		refuse(ctx, err)
		return
	}
	reply(ctx, record)
}

func (s *Server) serveCheck(ctx *fasthttp.RequestCtx) {
	n, err := note.Decode(ctx.PostBody())
	if err == nil {
		err = s.Notes.CheckNote(ctx, n)
	}
	if err != nil {
		refuse(ctx, err)
		return
	}
	reply(ctx, NoteResponse{NoteID: n.ID, Revision: s.Notes.Current().Revision})
}

func (s *Server) serveNote(ctx *fasthttp.RequestCtx) {
	n, err := note.Decode(ctx.PostBody())
	if err != nil {
		refuse(ctx, err)
		return
	}
	config, err := s.Notes.Submit(ctx, n)
	if err != nil {
		s.Log.WithFields(logrus.Fields{"note_id": n.ID, "error": err.Error()}).Warn("release note refused")
		refuse(ctx, err)
		return
	}
	s.Log.WithFields(logrus.Fields{"note_id": n.ID, "revision": config.Revision}).Info("release note accepted")
	reply(ctx, NoteResponse{NoteID: n.ID, Revision: config.Revision})
}

// serveWait waits until a revision is in force on every live node.
func (s *Server) serveWait(ctx *fasthttp.RequestCtx) {
	query := ctx.QueryArgs()
	revision, err := strconv.ParseInt(string(query.Peek("revision")), 10, 64)
	if err != nil {
		refuse(ctx, fault.InvalidField("revision", "%s", err))
		return
	}
	milliseconds, _ := strconv.ParseInt(string(query.Peek("timeout_ms")), 10, 64)
	limit := min(time.Duration(milliseconds)*time.Millisecond, maxWait)
	wait, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	lagging := s.Lagging(wait, revision)
	for len(lagging) > 0 && wait.Err() == nil {
		time.Sleep(waitInterval)
		lagging = s.Lagging(wait, revision)
	}
	reply(ctx, NoteResponse{Revision: revision, Active: len(lagging) == 0, Lagging: lagging})
}

func reply(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		refuse(ctx, fault.New(fault.Internal, fault.Ran, "encode: %s", err))
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append(body, '\n'))
}

func refuse(ctx *fasthttp.RequestCtx, err error) {
	entry.NewProblem(err, "").Write(ctx)
}
