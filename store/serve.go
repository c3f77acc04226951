package store

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"bergamotworks/fault"
	"bergamotworks/ports"
)

func (s *Server) serveRange(ctx context.Context, w wireRange) (any, error) {
	response, err := s.Store.Range(ctx, ports.RangeRequest{
		Key:    string(w.Key),
		Prefix: len(w.RangeEnd) > 0,
		Limit:  int(w.Limit),
	})
	result := wireRangeResponse{Header: wireHeader{Revision: response.Revision}}
	for _, e := range response.Entries {
		result.Kvs = append(result.Kvs, toWireEntry(e))
	}
	return result, err
}

func (s *Server) serveTxn(ctx context.Context, w wireTxn) (any, error) {
	response, err := s.Store.Commit(ctx, w.txn())
	header := wireHeader{Revision: response.Revision}
	return wireTxnResponse{Header: header, Succeeded: response.Succeeded}, err
}

func (s *Server) serveGrant(ctx context.Context, w wireGrant) (any, error) {
	lease, err := s.Store.Grant(ctx, time.Duration(w.TTL)*time.Second)
	return wireLease{ID: int64(lease), TTL: w.TTL}, err
}

func (s *Server) serveKeepAlive(ctx context.Context, w wireLease) (any, error) {
	err := s.Store.KeepAlive(ctx, ports.LeaseID(w.ID))
	var fe *fault.Error
	if errors.As(err, &fe) && fe.Kind == fault.NotFound {
		return wireKeepAlive{Result: wireLease{ID: w.ID}}, nil
	}
	return wireKeepAlive{Result: wireLease{ID: w.ID, TTL: 1}}, err
}

func (s *Server) serveRevoke(ctx context.Context, w wireLease) (any, error) {
	return struct{}{}, s.Store.Revoke(ctx, ports.LeaseID(w.ID))
}

func (s *Server) serveWatch(ctx context.Context, r *fasthttp.RequestCtx) {
	var request wireWatch
	if err := json.Unmarshal(r.PostBody(), &request); err != nil {
		s.respond(r, nil, fault.New(fault.Invalid, fault.NotRun, "decode request: %s", err))
		return
	}
	watcher, err := s.Store.Watch(ctx, ports.WatchRequest{
		Prefix:       string(request.Create.Key),
		FromRevision: request.Create.StartRevision,
	})
	if err != nil {
		s.respond(r, nil, err)
		return
	}
	r.SetContentType("application/json")
	r.SetBodyStreamWriter(func(w *bufio.Writer) {
		stream := serverStream{server: s, watcher: watcher, writer: w}
		stream.run()
	})
}

// serverStream writes the changes of one watch to a client.
type serverStream struct {
	server  *Server
	watcher ports.Watcher
	writer  *bufio.Writer
}

// run writes changes until the watch is lost, the client disconnects or the
// server is closed. In between it writes empty messages, which fail once the
// client has disconnected.
func (s *serverStream) run() {
	defer s.close()
	result := wireWatchResult{Created: true}
	for s.write(wireWatchMessage{Result: result}) {
		events, err := s.next()
		if s.server.ctx.Err() != nil {
			return
		}
		if err != nil && fault.From(err).Kind != fault.DeadlineExceeded {
			return
		}
		result = wireWatchResult{}
		for _, e := range events {
			result.Events = append(result.Events, toWireEvent(e))
			result.Header.Revision = e.Entry.ModRevision
		}
	}
}

func (s *serverStream) next() ([]ports.WatchEvent, error) {
	ctx, cancel := context.WithTimeout(s.server.ctx, watchProgressInterval)
	defer cancel()
	return s.watcher.Next(ctx)
}

func (s *serverStream) write(message wireWatchMessage) bool {
	encoded, err := json.Marshal(message)
	if err != nil {
		return false
	}
	if _, err := s.writer.Write(append(encoded, '\n')); err != nil {
		return false
	}
	return s.writer.Flush() == nil
}

func (s *serverStream) close() {
	// The watch is no longer used, so an error of Close has no consequence.
	_ = s.watcher.Close()
}

func toWireEvent(event ports.WatchEvent) wireEvent {
	w := wireEvent{Kv: toWireEntry(event.Entry)}
	if event.Deleted {
		w.Type = "DELETE"
	}
	return w
}
