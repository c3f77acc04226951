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

// Notes accepts release notes. Package conf implements it.
type Notes interface {
	// Current returns the configuration that is active on this node.
	Current() note.Config
	// CheckNote returns an error if a note would not be accepted. It does not
	// submit the note.
	CheckNote(ctx context.Context, n note.Note) error
	// Submit submits a note and returns the resulting configuration. If the
	// note is not accepted, the error says why.
	Submit(ctx context.Context, n note.Note) (note.Config, error)
}

// Server is the HTTP server for operators. Set the exported fields before
// [Server.Run].
type Server struct {
	Listener net.Listener
	Notes    Notes
	History  History
	Orders   Orders
	Rollouts Rollouts
	// Status returns the status of this node and its view of the others.
	Status func() Status
	// Lagging returns the VMs of the live nodes on which a revision is not
	// active yet.
	Lagging func(ctx context.Context, revision int64) []string
	// Burn returns the node's counts of outcomes by service-level objective and
	// its configuration changes.
	Burn func() (BurnState, error)
	// Ledger returns the record of a stage call, a [LedgerRecord]. The key is
	// the idempotency key. It returns a fault.NotFound error if there is no
	// record.
	Ledger func(ctx context.Context, account, key, stage string) (any, error)
	// Ready returns nil if the node is ready, otherwise an error with the
	// reason. It determines /readyz.
	Ready   func() error
	Log     *logrus.Entry
	Metrics *metrics.Set

	once sync.Once
	http *fasthttp.Server
}

// Status is the response of /v1/status: the state of one node and its view of
// the fleet.
type Status struct {
	VM        string             `json:"vm"`
	Revision  int64              `json:"revision"`
	Ready     bool               `json:"ready"`
	Reason    string             `json:"reason,omitempty"`
	Members   []MemberStatus     `json:"members"`
	Pools     []owner.PoolStatus `json:"pools"`
	Domains   []DomainStatus     `json:"domains"`
	Pipelines []PipelineStatus   `json:"pipelines"`
	// HeldTargets are the targets of opaque routes that get no calls from this node,
	// since they have said that they leave or asked to wait.
	HeldTargets []HeldTargetStatus `json:"held_targets,omitempty"`
}

// HeldTargetStatus says why a target gets no calls from a node, and until when.
type HeldTargetStatus struct {
	Target  string    `json:"target"`
	Service string    `json:"service"`
	Reason  string    `json:"reason"`
	Until   time.Time `json:"until,omitzero"` // Zero if the end is not known.
}

// MemberStatus is the state of one node in the membership view of this one.
type MemberStatus struct {
	VM          string `json:"vm"`
	Domain      string `json:"domain"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	Revision    int64  `json:"revision"`
	Ready       bool   `json:"ready"`
}

// DomainStatus is the configured state of a failure domain.
type DomainStatus struct {
	Domain string `json:"domain"`
	State  string `json:"state"`
}

// PipelineStatus summarizes a configured pipeline.
type PipelineStatus struct {
	Pipeline string `json:"pipeline"`
	Class    string `json:"class"`
	Stages   int    `json:"stages"`
}

// BurnState is the response of /v1/burn: the counts of outcomes of one node and
// the configurations that became active on it.
type BurnState struct {
	Snapshot burn.Snapshot `json:"snapshot"`
	Changes  []burn.Change `json:"changes"`
}

// LedgerRecord is the response of /v1/ledger, the record of a non-idempotent
// stage call.
type LedgerRecord struct {
	Account     string          `json:"account"`
	Key         string          `json:"key"` // Idempotency key.
	Stage       string          `json:"stage"`
	State       string          `json:"state"`
	Token       string          `json:"token"` // Starts with the VM that may dispatch the call.
	Fingerprint string          `json:"fingerprint"`
	CreatedMS   int64           `json:"created_ms"` // Creation time of the idempotency key in Unix milliseconds.
	Result      json.RawMessage `json:"result,omitempty"`
}

// NoteResponse is the response to an accepted or checked release note, and to
// the wait for a revision.
type NoteResponse struct {
	NoteID string `json:"note_id"`
	// Revision is the revision that the note created or that was waited for;
	// for a checked note, the active revision of this node.
	Revision int64 `json:"revision"`
	// Active says that the revision is active on all live nodes. It is set only
	// by the wait.
	Active bool `json:"in_force"`
	// Lagging holds the VMs of the live nodes on which the revision is not
	// active yet. It is set only by the wait.
	Lagging []string `json:"lagging,omitempty"`
}

const (
	idleTimeout      = 60 * time.Second
	readTimeout      = 30 * time.Second
	maxWaitTimeout   = 60 * time.Second // Bounds timeout_ms of /v1/wait.
	waitPollInterval = 20 * time.Millisecond
	maxNoteBytes     = 4 << 20
)

func (s *Server) init() {
	s.http = &fasthttp.Server{
		Handler: s.handle, Name: "bergamotworks-admin", IdleTimeout: idleTimeout,
		ReadTimeout: readTimeout, MaxRequestBodySize: maxNoteBytes, Logger: s.Log,
	}
}

// Run serves requests until ctx is done or the server is closed. It returns nil
// in both cases, and the error if the listener fails.
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

// Close closes the listener and waits until the requests in progress have
// responses. It does not end a wait for a revision, which can take up to 60 s.
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
		writeJSON(ctx, s.Notes.Current())
	case "GET /v1/status":
		writeJSON(ctx, s.Status())
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
		s.handleRollout(ctx)
	}
}

func (s *Server) serveReadiness(ctx *fasthttp.RequestCtx) {
	if err := s.Ready(); err != nil {
		writeError(ctx, err)
		return
	}
	ctx.SetBodyString("ready\n")
}

func (s *Server) serveBurn(ctx *fasthttp.RequestCtx) {
	state, err := s.Burn()
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeJSON(ctx, state)
}

func (s *Server) serveLedger(ctx *fasthttp.RequestCtx) {
	query := ctx.QueryArgs()
	record, err := s.Ledger(ctx, string(query.Peek("account")), string(query.Peek("key")), string(query.Peek("stage")))
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeJSON(ctx, record)
}

// serveCheck checks a release note without submitting it.
func (s *Server) serveCheck(ctx *fasthttp.RequestCtx) {
	n, err := note.Decode(ctx.PostBody())
	if err == nil {
		err = s.Notes.CheckNote(ctx, n)
	}
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeJSON(ctx, NoteResponse{NoteID: n.ID, Revision: s.Notes.Current().Revision})
}

func (s *Server) serveNote(ctx *fasthttp.RequestCtx) {
	n, err := note.Decode(ctx.PostBody())
	if err != nil {
		writeError(ctx, err)
		return
	}
	config, err := s.Notes.Submit(ctx, n)
	if err != nil {
		s.Log.WithFields(logrus.Fields{"note_id": n.ID, "error": err.Error()}).Warn("release note rejected")
		writeError(ctx, err)
		return
	}
	s.Log.WithFields(logrus.Fields{"note_id": n.ID, "revision": config.Revision}).Info("release note accepted")
	writeJSON(ctx, NoteResponse{NoteID: n.ID, Revision: config.Revision})
}

// serveWait waits until a revision is active on all live nodes or the requested
// timeout, which maxWaitTimeout bounds, has passed. A missing or malformed
// timeout_ms means that it does not wait.
func (s *Server) serveWait(ctx *fasthttp.RequestCtx) {
	query := ctx.QueryArgs()
	revision, err := strconv.ParseInt(string(query.Peek("revision")), 10, 64)
	if err != nil {
		writeError(ctx, fault.InvalidField("revision", "%s", err))
		return
	}
	milliseconds, _ := strconv.ParseInt(string(query.Peek("timeout_ms")), 10, 64)
	timeout := min(time.Duration(milliseconds)*time.Millisecond, maxWaitTimeout)
	waitCtx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	lagging := s.Lagging(waitCtx, revision)
	for len(lagging) > 0 && waitCtx.Err() == nil {
		time.Sleep(waitPollInterval)
		lagging = s.Lagging(waitCtx, revision)
	}
	writeJSON(ctx, NoteResponse{Revision: revision, Active: len(lagging) == 0, Lagging: lagging})
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		writeError(ctx, fault.New(fault.Internal, fault.Ran, "encode: %s", err))
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append(body, '\n'))
}

func writeError(ctx *fasthttp.RequestCtx, err error) {
	entry.NewProblem(err, "").Write(ctx)
}
