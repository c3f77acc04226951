package order

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"bergamotworks/fault"
	"bergamotworks/ports"
	"bergamotworks/script"
)

// exchange is a call to an engine: what it gets, answers and what comes of it.
type exchange struct {
	Command *Command     `json:"command"` // None reads the state.
	Status  int          `json:"status"`  // 0 closes the connection without an answer.
	Answer  string       `json:"answer"`
	Request string       `json:"request"`
	State   *EngineState `json:"state"`
	Want    string       `json:"want"`
}

func TestHTTPEngine(t *testing.T) {
	script.Run(t, "testdata/http/*.json", func(t *testing.T, data exchange) {
		s := &httpServer{exchange: data}
		address, stop := s.start(t)
		defer stop()
		e := &HTTPEngine{Network: ports.SystemNetwork{}}
		var state EngineState
		var err error
		if data.Command == nil {
			state, err = e.State(t.Context(), address)
		} else {
			err = e.Apply(t.Context(), address, *data.Command)
		}
		if diff := cmp.Diff(data.Want, errorText(err)); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(data.Request, s.received()); diff != "" {
			t.Error(diff)
		}
		if data.State != nil {
			if diff := cmp.Diff(*data.State, state); diff != "" {
				t.Error(diff)
			}
		}
	})
}

// TestHTTPEngineGone finds nobody at the address.
func TestHTTPEngineGone(t *testing.T) {
	s := &httpServer{}
	address, stop := s.start(t)
	stop()
	e := &HTTPEngine{Network: ports.SystemNetwork{}}
	err := e.Apply(context.Background(), address, Command{})
	if diff := cmp.Diff(fault.NotRun, fault.VerdictOf(err)); diff != "" {
		t.Error(diff)
	}
}

type httpServer struct {
	exchange exchange
	mutex    sync.Mutex
	request  string
}

// received returns the requests so far.
func (s *httpServer) received() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.request
}

func (s *httpServer) start(t *testing.T) (string, func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: s.serve}
	var group errgroup.Group
	group.Go(func() error { return server.Serve(listener) })
	return listener.Addr().String(), func() {
		if err := server.Shutdown(); err != nil {
			t.Error(err)
		}
		// The server may not have begun to serve.
		if err := listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	}
}

func (s *httpServer) serve(r *fasthttp.RequestCtx) {
	fence := r.Request.Header.Peek(FenceHeader)
	s.mutex.Lock()
	s.request += fmt.Sprintf("%s %s %s %s;", r.Method(), r.Path(), fence, r.PostBody())
	s.mutex.Unlock()
	if s.exchange.Status == 0 {
		r.HijackSetNoResponse(true)
		r.Hijack(func(net.Conn) {})
		return
	}
	r.SetStatusCode(s.exchange.Status)
	r.SetBodyString(s.exchange.Answer)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return fault.From(err).Error()
}
